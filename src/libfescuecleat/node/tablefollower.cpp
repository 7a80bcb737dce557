#include "node/tablefollower.h"

#include "node/nodeclock.h"

namespace fescuecleat {

namespace {

    /** Time limit of a read; the store answers in 4 ms, or in 240 ms when it is slow. */
    constexpr Duration readTimeLimit = std::chrono::milliseconds(1000);
    /** What a long poll may take beyond its wait before its connection counts as silent. */
    constexpr Duration followSlack = std::chrono::milliseconds(700);
    constexpr Duration firstRetryDelay = std::chrono::milliseconds(50);
    constexpr Duration lastRetryDelay = std::chrono::milliseconds(400);

}

TableFollower::TableFollower(boost::asio::io_context& context, RowStore& store, StoreClock& clock, JsonEventLog& log, FollowedTable table, Duration wait, Listener listener)
    : store_(store)
    , clock_(clock)
    , log_(log)
    , table_(std::move(table))
    , wait_(wait)
    , listener_(std::move(listener))
    , retry_(context)
{
}

void TableFollower::start()
{
    loading_.clear();
    loadingPart_ = 0;
    loadedKey_.clear();
    isLoading_ = true;
    version_ = 0;
    readPage();
}

void TableFollower::readPage()
{
    const std::string from = loadedKey_.empty() ? std::string() : boundAfter(loadedKey_);
    store_.read({ table_.name_, table_.parts_[loadingPart_], from, {} }, readTimeLimit, lifetime_.guard([this](const tl::expected<RowPage, StoreFailure>& page) {
        if (!page)
            return failed(page.error());
        // Changes between two pages come again with the feed.
        if (version_ == 0)
            version_ = page->moment_.version_;
        loading_.insert(loading_.end(), page->rows_.begin(), page->rows_.end());
        if (page->hasMore_ && !page->rows_.empty()) {
            loadedKey_ = page->rows_.back().key_;
            return readPage();
        }
        loadedKey_.clear();
        if (++loadingPart_ < table_.parts_.size())
            return readPage();
        isLoading_ = false;
        isLoaded_ = true;
        const std::vector<StoredRow> rows = std::exchange(loading_, {});
        provenAt_ = std::max(provenAt_, page->moment_.askedAt_);
        if (listener_.reset_)
            listener_.reset_(rows);
        succeeded(page->moment_);
    }));
}

void TableFollower::followChanges()
{
    store_.follow(table_.name_, version_, wait_, wait_ + followSlack, lifetime_.guard([this](const tl::expected<RowPage, StoreFailure>& page) {
        if (!page)
            return failed(page.error());
        version_ = std::max(version_, page->moment_.version_);
        for (const StoredRow& row : page->rows_) {
            version_ = std::max(version_, row.version_);
            if (listener_.changed_)
                listener_.changed_(row);
        }
        provenAt_ = std::max(provenAt_, page->moment_.askedAt_);
        succeeded(page->moment_);
    }));
}

void TableFollower::succeeded(const StoreMoment& moment)
{
    clock_.observe(moment);
    failures_ = 0;
    if (!isInContact_) {
        isInContact_ = true;
        log_.write("store.contact_regained", { { "table", table_.name_ }, { "version", version_ } });
    }
    auto next = lifetime_.guard([this] {
        if (pause_ > Duration::zero())
            retry_.start(pause_, [this] { followChanges(); });
        else
            followChanges();
    });
    if (listener_.contact_)
        listener_.contact_();
    next();
}

void TableFollower::failed(const StoreFailure& failure)
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
    const Duration delay = std::min(lastRetryDelay, firstRetryDelay * failures_);
    retry_.start(delay, [this] {
        if (isLoading_)
            readPage();
        else
            followChanges();
    });
}

}
