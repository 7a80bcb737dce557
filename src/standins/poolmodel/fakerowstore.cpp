#include "poolmodel/fakerowstore.h"

#include "base/bootclock.h"
#include "node/storelimits.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace fescuecleat {

namespace {

    auto failed(StoreFailureKind kind)
    {
        return tl::unexpected<StoreFailure>({ kind, {}, "fake" });
    }

}

FakeRowStore::FakeRowStore(boost::asio::io_context& loop)
    : loop_(loop)
{
}

template <typename Function>
void FakeRowStore::postToLoop(Function function)
{
    boost::asio::post(loop_, std::move(function));
}

StoreTimestamp FakeRowStore::timestamp() const
{
    const Time now = bootTimeNow();
    return { version_, wholeMilliseconds(now.time_since_epoch()), now, now };
}

tl::expected<StoreTimestamp, StoreFailure> FakeRowStore::apply(const RowTransaction& transaction)
{
    StoreFailure conflict { StoreFailureKind::Conflict, {}, "fake" };
    bool isMet = true;
    for (const RowExpectation& expectation : transaction.expectations_) {
        const auto& rows = tables_[expectation.table_];
        const auto row = rows.find(expectation.key_);
        isMet = isMet && (row == rows.end() ? 0 : row->second.version_) == expectation.version_;
        if (row != rows.end())
            conflict.rows_.push_back(row->second);
    }
    if (!isMet)
        return tl::unexpected<StoreFailure>(conflict);
    ++version_;
    for (const RowUpsert& write : transaction.writes_) {
        const StoredRow row { write.key_, write.value_, version_, false };
        tables_[write.table_][write.key_] = row;
        parts_[{ write.table_, write.key_ }] = transaction.part_;
        addChange(write.table_, row);
        if (observer_)
            observer_(write.table_, row);
    }
    for (const RowDeletion& deletion : transaction.deletions_) {
        tables_[deletion.table_].erase(deletion.key_);
        parts_.erase({ deletion.table_, deletion.key_ });
        addChange(deletion.table_, { deletion.key_, {}, version_, true });
    }
    notify();
    return timestamp();
}

bool FakeRowStore::isTooLarge(const RowTransaction& transaction)
{
    std::size_t largest = 0;
    for (const RowUpsert& write : transaction.writes_)
        largest = std::max(largest, StoreLimits::encodedBytes(write.value_.size()));
    if (largest > rowBytes_)
        return true;
    largestRowBytes_ = std::max(largestRowBytes_, largest);
    return false;
}

bool FakeRowStore::isOfRejectedTable(const RowTransaction& transaction) const
{
    return std::any_of(transaction.expectations_.begin(), transaction.expectations_.end(), [this](const RowExpectation& expectation) { return expectation.table_ == rejectedTable_; });
}

void FakeRowStore::commit(RowTransaction transaction, Duration timeout, CommitHandler handler)
{
    if (commitDelay_ > timeout) {
        delays_.emplace_back(loop_);
        delays_.back().start(timeout, [handler = std::move(handler)] { handler(failed(StoreFailureKind::OutcomeUnknown)); });
        handler = [](const tl::expected<StoreTimestamp, StoreFailure>&) {};
    }
    auto execute = [this, transaction = std::move(transaction), handler = std::move(handler)] {
        ++commitsSeen_;
        if (isRefusingWrites_ || refusedParts_.count(transaction.part_) > 0)
            return handler(failed(StoreFailureKind::Refused));
        if (isRefusing_ || isSilent_)
            return handler(failed(isSilent_ ? StoreFailureKind::OutcomeUnknown : StoreFailureKind::Refused));
        if (isTooLarge(transaction) || isOfRejectedTable(transaction))
            return handler(failed(StoreFailureKind::Rejected));
        if (commitsToHoldBack_ > 0) {
            --commitsToHoldBack_;
            heldBack_.push_back(transaction);
            return handler(failed(StoreFailureKind::OutcomeUnknown));
        }
        auto outcome = apply(transaction);
        if (outcome && answersToLose_ > 0) {
            --answersToLose_;
            return handler(failed(StoreFailureKind::OutcomeUnknown));
        }
        handler(std::move(outcome));
    };
    if (commitDelay_ == Duration::zero())
        return postToLoop(std::move(execute));
    delays_.emplace_back(loop_);
    delays_.back().start(commitDelay_, [this, delay = std::prev(delays_.end()), execute = std::move(execute)]() mutable {
        delays_.erase(delay);
        execute();
    });
}

int FakeRowStore::applyHeldBack()
{
    int applied = 0;
    for (const RowTransaction& transaction : std::exchange(heldBack_, {}))
        applied += apply(transaction) ? 1 : 0;
    return applied;
}

void FakeRowStore::read(const RowRange& range, Duration, PageHandler handler)
{
    if (range.from_.empty() && range.to_.empty())
        ++fullReads_[range.table_];
    postToLoop([this, range, handler = std::move(handler)] {
        if (isRefusing_ || isSilent_)
            return handler(failed(isSilent_ ? StoreFailureKind::OutcomeUnknown : StoreFailureKind::Refused));
        if (refusedParts_.count(range.part_) > 0)
            return handler(failed(StoreFailureKind::Refused));
        RowPage page;
        page.timestamp_ = timestamp();
        const auto& rows = tables_[range.table_];
        for (auto row = rows.lower_bound(range.from_); row != rows.end() && (range.to_.empty() || row->first < range.to_); ++row) {
            if (parts_[{ range.table_, row->first }] != range.part_)
                continue;
            if (page.rows_.size() >= pageRows_) {
                page.hasMore_ = true;
                break;
            }
            page.rows_.push_back(row->second);
        }
        handler(std::move(page));
    });
}

void FakeRowStore::addChange(const std::string& table, const StoredRow& row)
{
    History& history = histories_[table];
    history.changes_.push_back(row);
    if (history.changes_.size() <= historyLimit_)
        return;
    history.goneUpTo_ = history.changes_.front().version_;
    history.changes_.pop_front();
}

bool FakeRowStore::isHistoryGone(const std::string& table, std::uint64_t after) const
{
    const auto history = histories_.find(table);
    return after < oldestVersion_ || (history != histories_.end() && after < history->second.goneUpTo_);
}

RowPage FakeRowStore::changesAfter(const std::string& table, std::uint64_t after) const
{
    RowPage page;
    page.timestamp_ = timestamp();
    const auto history = histories_.find(table);
    if (history == histories_.end())
        return page;
    const auto& changes = history->second.changes_;
    const auto first = std::upper_bound(changes.begin(), changes.end(), after, [](std::uint64_t version, const StoredRow& row) { return version < row.version_; });
    auto last = first;
    while (last != changes.end() && (static_cast<std::size_t>(last - first) < feedRows_ || last->version_ == std::prev(last)->version_))
        ++last;
    page.rows_.assign(first, last);
    page.hasMore_ = last != changes.end();
    // A feed continues after the last row that it returned.
    if (page.hasMore_)
        page.timestamp_.version_ = page.rows_.back().version_;
    return page;
}

void FakeRowStore::follow(const std::string& table, std::uint64_t after, Duration wait, Duration, PageHandler handler)
{
    postToLoop([this, table, after, wait, handler = std::move(handler)] {
        if (isRefusing_ || isSilent_)
            return handler(failed(isSilent_ ? StoreFailureKind::OutcomeUnknown : StoreFailureKind::Refused));
        if (isRefusingFeeds_)
            return handler(failed(StoreFailureKind::Refused));
        if (isHistoryGone(table, after))
            return handler(failed(StoreFailureKind::HistoryGone));
        longPolls_.push_back({ table, after, handler, std::make_unique<Timer>(loop_) });
        const auto longPoll = std::prev(longPolls_.end());
        longPoll->timer_->start(wait, [this, longPoll] {
            const PageHandler pollHandler = longPoll->handler_;
            longPolls_.erase(longPoll);
            RowPage page;
            page.timestamp_ = timestamp();
            pollHandler(std::move(page));
        });
        notify();
    });
}

void FakeRowStore::setFeedsSilent(bool areSilent)
{
    areFeedsSilent_ = areSilent;
    notify();
}

void FakeRowStore::notify()
{
    if (areFeedsSilent_)
        return;
    for (auto longPoll = longPolls_.begin(); longPoll != longPolls_.end();) {
        RowPage page = changesAfter(longPoll->table_, longPoll->after_);
        const bool isGone = isHistoryGone(longPoll->table_, longPoll->after_);
        if (page.rows_.empty() && !isGone) {
            ++longPoll;
            continue;
        }
        const PageHandler handler = longPoll->handler_;
        longPoll = longPolls_.erase(longPoll);
        postToLoop([handler, page, isGone]() mutable {
            if (isGone)
                return handler(failed(StoreFailureKind::HistoryGone));
            handler(std::move(page));
        });
    }
}

void FakeRowStore::dropHistory()
{
    histories_.clear();
    oldestVersion_ = ++version_;
    notify();
}

void FakeRowStore::put(const std::string& table, const std::string& key, const std::string& value, const std::string& part)
{
    apply({ part, {}, { { table, key, value } }, {} });
}

void FakeRowStore::erase(const std::string& table, const std::string& key)
{
    apply({ {}, {}, {}, { { table, key } } });
}

std::optional<std::string> FakeRowStore::value(const std::string& table, const std::string& key) const
{
    const auto rows = tables_.find(table);
    if (rows == tables_.end())
        return std::nullopt;
    const auto row = rows->second.find(key);
    if (row == rows->second.end())
        return std::nullopt;
    return row->second.value_;
}

int FakeRowStore::fullReads(const std::string& table) const
{
    const auto reads = fullReads_.find(table);
    return reads == fullReads_.end() ? 0 : reads->second;
}

}
