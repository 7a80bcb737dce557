#include "node/tablefollower.h"

#include "base/bootclock.h"

namespace fescuecleat {

namespace {

    /** The store answers reads in 4 ms, and in 240 ms when it is slow. */
    constexpr Duration readTimeout = std::chrono::milliseconds(1000);
    /** Added to the wait of a long poll to get its timeout; after it the connection counts as dead. */
    constexpr Duration followTimeoutMargin = std::chrono::milliseconds(700);
    constexpr Duration minRetryDelay = std::chrono::milliseconds(50);
    constexpr Duration maxRetryDelay = std::chrono::milliseconds(400);

}

TableFollower::TableFollower(boost::asio::io_context& context, RowStore& store, StoreClock& clock, JsonEventLog& log, FollowedTable table, Duration wait, Listener listener)
    : store_(store)
    , clock_(clock)
    , log_(log)
    , table_(std::move(table))
    , wait_(wait)
    , listener_(std::move(listener))
    , retryTimer_(context)
{
}

void TableFollower::start()
{
    loadingRows_.clear();
    loadingPart_ = 0;
    lastLoadedKey_.clear();
    isLoading_ = true;
    version_ = 0;
    readPage();
}

void TableFollower::refresh()
{
    if (!isLoading_ && !isLoaded_)
        return;
    retryTimer_.cancel();
    failures_ = 0;
    if (isLoading_)
        readPage();
    else
        followChanges(Duration::zero()); // an answer without changes confirms the view as well
}

void TableFollower::readPage()
{
    const std::uint64_t call = ++call_;
    const std::string from = lastLoadedKey_.empty() ? std::string() : boundAfter(lastLoadedKey_);
    store_.read({ table_.name_, table_.parts_[loadingPart_], from, {} }, readTimeout, lifetime_.guard([this, call](const tl::expected<RowPage, StoreFailure>& page) {
        if (call != call_)
            return;
        if (!page)
            return handleFailure(page.error());
        // The first page's version is kept: the feed then delivers all changes made while the other pages were read.
        if (version_ == 0) {
            version_ = page->timestamp_.version_;
            loadAskedAt_ = page->timestamp_.askedAt_;
        }
        if (listener_.loaded_) {
            for (const StoredRow& row : page->rows_)
                deliver(listener_.loaded_, row);
        } else {
            loadingRows_.insert(loadingRows_.end(), page->rows_.begin(), page->rows_.end());
        }
        if (page->hasMore_ && !page->rows_.empty()) {
            lastLoadedKey_ = page->rows_.back().key_;
            return readPage();
        }
        lastLoadedKey_.clear();
        if (++loadingPart_ < table_.parts_.size())
            return readPage();
        isLoading_ = false;
        isLoaded_ = true;
        const std::vector<StoredRow> rows = std::exchange(loadingRows_, {});
        // Rows of the first page may have changed while the others were read.
        currentAsOf_ = std::max(currentAsOf_, loadAskedAt_);
        hasMoreChanges_ = false;
        if (listener_.reset_)
            listener_.reset_(rows);
        handleSuccess(page->timestamp_);
    }));
}

void TableFollower::followChanges(Duration wait)
{
    const std::uint64_t call = ++call_;
    store_.follow(table_.name_, version_, wait, wait + followTimeoutMargin, lifetime_.guard([this, call](const tl::expected<RowPage, StoreFailure>& page) {
        if (call != call_)
            return;
        if (!page)
            return handleFailure(page.error());
        version_ = std::max(version_, page->timestamp_.version_);
        for (const StoredRow& row : page->rows_) {
            version_ = std::max(version_, row.version_);
            if (listener_.changed_)
                deliver(listener_.changed_, row);
        }
        hasMoreChanges_ = page->hasMore_;
        // A feed that always has more, as that of thousands of workers, is still as new as the answers that its version covers.
        const auto asOf = hasMoreChanges_ ? clock_.asOf(version_) : page->timestamp_.askedAt_;
        currentAsOf_ = std::max(currentAsOf_, asOf.value_or(currentAsOf_));
        // A feed's version may be that of its last change, and other tables may have later ones.
        StoreTimestamp timestamp = page->timestamp_;
        timestamp.version_ = 0;
        handleSuccess(timestamp);
    }));
}

void TableFollower::deliver(const std::function<void(const StoredRow&)>& callback, const StoredRow& row)
{
    try {
        callback(row);
    } catch (const std::exception& error) {
        log_.write("row.exception", { { "table", table_.name_ }, { "key", row.key_ }, { "version", row.version_ }, { "cause", error.what() } });
    }
}

void TableFollower::handleSuccess(const StoreTimestamp& timestamp)
{
    clock_.observe(timestamp);
    failures_ = 0;
    if (!isInContact_) {
        isInContact_ = true;
        log_.write("store.contact_regained", { { "table", table_.name_ }, { "version", version_ } });
    }
    auto next = lifetime_.guard([this] {
        if (pollPause_ > Duration::zero() && !hasMoreChanges_)
            retryTimer_.start(pollPause_, [this] { followChanges(wait_); });
        else
            followChanges(wait_);
    });
    if (listener_.contacted_)
        listener_.contacted_();
    next();
}

void TableFollower::handleFailure(const StoreFailure& failure)
{
    if (isInContact_) {
        isInContact_ = false;
        log_.write("store.contact_lost", { { "table", table_.name_ }, { "cause", storeFailureName(failure.kind_) }, { "detail", failure.message_ } });
    }
    if (failure.kind_ == StoreFailureKind::HistoryGone) {
        log_.write("store.history_gone", { { "table", table_.name_ }, { "version", version_ } });
        return start();
    }
    ++failures_;
    const Duration delay = std::min(maxRetryDelay, minRetryDelay * failures_);
    retryTimer_.start(delay, [this] {
        if (isLoading_)
            readPage();
        else
            followChanges(wait_);
    });
}

}
