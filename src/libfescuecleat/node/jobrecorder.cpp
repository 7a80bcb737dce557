#include "node/jobrecorder.h"

#include "base/bootclock.h"
#include "node/poolschedulerlease.h"
#include "node/storelayout.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** The chain row's expectation and write. */
    constexpr std::size_t chainEntries = 2;
    /** Space for the names of an entry's fields, and for those of the transaction. */
    constexpr std::size_t entryOverheadBytes = 200;
    constexpr Duration commitTimeout = std::chrono::milliseconds(1500);
    constexpr Duration retryDelay = std::chrono::milliseconds(100);
    /** After this many rejections of its record, a job is reported as unstorable. */
    constexpr int maxRejections = 10;
    /** Multiplied by the number of rejections, up to that limit, to get the delay before a record is sent again. */
    constexpr Duration rejectionBackoff = std::chrono::milliseconds(200);

}

JobRecorder::JobRecorder(boost::asio::io_context& context, RowStore& store, JsonEventLog& log, const StoreLimits& limits, std::int64_t epoch, std::uint64_t chainVersion, Listener listener)
    : store_(store)
    , log_(log)
    , limits_(limits)
    , epoch_(epoch)
    , chainVersion_(chainVersion)
    , listener_(std::move(listener))
    , retryTimer_(context)
    , deferredTimer_(context)
    , maxCommitSize_(limits.transactionEntries_)
{
}

void JobRecorder::markChanged(const std::string& job)
{
    const auto [entry, isNew] = changed_.try_emplace(job, lastMark_ + 1, lastMark_ + 1);
    entry->second.second = ++lastMark_;
    if (isNew && rejected_.count(job) == 0)
        order_.emplace(entry->second.first, job);
}

void JobRecorder::removeRecord(const std::string& job)
{
    storedRows_[job].try_emplace(job);
    removals_.insert(job);
    markChanged(job);
}

void JobRecorder::addToNextCommit(RowUpsert write)
{
    for (RowUpsert& other : extraWrites_) {
        if (other.table_ == write.table_ && other.key_ == write.key_) {
            other = std::move(write);
            return;
        }
    }
    extraWrites_.push_back(std::move(write));
}

bool JobRecorder::isBeingStored(const std::string& job) const
{
    return isCommitting_ && committing_.count(job) > 0;
}

void JobRecorder::whenStored(const std::set<std::string>& jobs, std::function<void()> callback)
{
    const auto waiter = std::make_shared<Waiter>();
    waiter->number_ = ++lastWaiter_;
    waiter->callback_ = std::move(callback);
    for (const std::string& job : jobs) {
        const auto change = changed_.find(job);
        if (change == changed_.end() && !isBeingStored(job))
            continue;
        waiters_[job].emplace_back(change == changed_.end() ? committing_.at(job).storedMark_ : change->second.second, waiter);
        ++waiter->jobs_;
    }
    if (waiter->jobs_ == 0)
        readyWaiters_.emplace(waiter->number_, waiter);
}

void JobRecorder::callReadyWaiters()
{
    for (const auto& [number, waiter] : std::exchange(readyWaiters_, {}))
        waiter->callback_();
}

void JobRecorder::flush()
{
    callReadyWaiters();
    if (isCommitting_ || (order_.empty() && extraWrites_.empty()) || !mayWrite())
        return;
    prepareCommit();
    if (transaction_.writes_.empty() && transaction_.deletions_.empty())
        return handleCommitted(chainVersion_);
    ++sequence_;
    sendCommit();
}

void JobRecorder::prepareCommit()
{
    isCommitting_ = true;
    transaction_ = {};
    transaction_.part_ = schedulerPart;
    transactionBytes_ = 0;
    while (!order_.empty() && commitSize() < maxCommitSize_) {
        const std::string job = order_.begin()->second;
        if (!addRecord(job, changed_.at(job).second))
            break;
        order_.erase(order_.begin());
        changed_.erase(job);
    }
    while (!extraWrites_.empty() && commitSize() < maxCommitSize_ && hasSpaceFor(extraWrites_.front())) {
        addWrite(extraWrites_.front());
        committingWrites_.push_back(std::move(extraWrites_.front()));
        extraWrites_.erase(extraWrites_.begin());
    }
}

bool JobRecorder::hasSpaceFor(const RowUpsert& write) const
{
    const std::size_t entries = transaction_.writes_.size() + transaction_.deletions_.size() + chainEntries;
    const std::size_t bytes = transactionBytes_ + StoreLimits::encodedBytes(write.value_.size()) + write.key_.size() + entryOverheadBytes;
    return entries == chainEntries || (entries < limits_.transactionEntries_ && bytes + entryOverheadBytes <= limits_.transactionBytes_);
}

void JobRecorder::addWrite(const RowUpsert& write)
{
    transactionBytes_ += StoreLimits::encodedBytes(write.value_.size()) + write.key_.size() + entryOverheadBytes;
    transaction_.writes_.push_back(write);
}

bool JobRecorder::addRecord(const std::string& job, std::uint64_t mark)
{
    const bool isRemoval = removals_.count(job) > 0;
    const Rows rows = isRemoval ? Rows() : listener_.rows_(job);
    const Rows& stored = storedRows_[job];
    RecordChange change;
    const auto addChanges = [&] {
        for (const auto& [key, value] : rows) {
            const auto former = stored.find(key);
            if (former != stored.end() && former->second == value)
                continue;
            const RowUpsert write { table, key, value };
            if (!hasSpaceFor(write))
                return false;
            addWrite(write);
            change.writes_[key] = value;
        }
        // Deleted last: by then the other rows say what a deleted one said.
        for (const auto& [key, value] : stored) {
            if ((rows.empty() && !isRemoval) || rows.count(key) > 0)
                continue;
            if (!hasSpaceFor({ table, key, {} }))
                return false;
            transactionBytes_ += key.size() + entryOverheadBytes;
            transaction_.deletions_.push_back({ table, key });
            change.deletions_.insert(key);
        }
        return true;
    };
    const bool isComplete = addChanges();
    if (isComplete)
        change.storedMark_ = mark;
    committing_[job] = std::move(change);
    return isComplete;
}

void JobRecorder::resume()
{
    if (!isCommitting_)
        return flush();
    retryTimer_.cancel();
    sendCommit();
}

void JobRecorder::sendCommit()
{
    // The attempt before may have been applied, or may be later; the chain row tells once writing is allowed again.
    if (!mayWrite())
        return retryTimer_.start(retryDelay, [this] { sendCommit(); });
    const std::uint64_t attempt = ++attempt_;
    RowTransaction transaction = transaction_;
    transaction.expectations_.push_back({ PoolSchedulerLease::chainTable, PoolSchedulerLease::chainKey, chainVersion_ });
    transaction.writes_.push_back({ PoolSchedulerLease::chainTable, PoolSchedulerLease::chainKey, PoolSchedulerLease::chainValue(epoch_, sequence_) });
    store_.commit(std::move(transaction), commitTimeout, lifetime_.guard([this, attempt](const tl::expected<StoreTimestamp, StoreFailure>& outcome) {
        if (attempt != attempt_)
            return;
        if (outcome)
            return handleCommitted(outcome->version_);
        const StoreFailure& failure = outcome.error();
        log_.write("records.commit_failed", { { "commit", sequence_ }, { "cause", storeFailureName(failure.kind_) }, { "detail", failure.message_ } });
        if (failure.kind_ == StoreFailureKind::Rejected)
            return handleRejected(failure.message_);
        if (failure.kind_ != StoreFailureKind::Conflict)
            return retryTimer_.start(retryDelay, [this] { sendCommit(); });
        for (const StoredRow& row : failure.rows_) {
            if (row.key_ != PoolSchedulerLease::chainKey)
                continue;
            // An earlier attempt was applied, but its answer was lost.
            if (row.value_ == PoolSchedulerLease::chainValue(epoch_, sequence_))
                return handleCommitted(row.version_);
        }
        listener_.superseded_("another instance has written to the commit chain");
    }));
}

void JobRecorder::handleCommitted(std::uint64_t version)
{
    chainVersion_ = version;
    isCommitting_ = false;
    committingWrites_.clear();
    maxCommitSize_ = std::min(limits_.transactionEntries_, maxCommitSize_ * 2);
    for (auto& [job, change] : std::exchange(committing_, {})) {
        Rows& stored = storedRows_[job];
        for (auto& [key, value] : change.writes_)
            stored[key] = std::move(value);
        for (const std::string& key : change.deletions_)
            stored.erase(key);
        if (stored.empty() && removals_.erase(job) > 0)
            storedRows_.erase(job);
        if (change.storedMark_ > 0)
            noteStored(job, change.storedMark_);
    }
    flush();
}

void JobRecorder::noteStored(const std::string& job, std::uint64_t mark)
{
    if (rejected_.erase(job) > 0) {
        const auto change = changed_.find(job);
        if (change != changed_.end())
            order_.emplace(change->second.first, job);
    }
    const auto waiting = waiters_.find(job);
    if (waiting == waiters_.end())
        return;
    auto& waiters = waiting->second;
    const auto isStored = [this, mark](const auto& entry) {
        if (entry.first > mark)
            return false;
        if (--entry.second->jobs_ == 0)
            readyWaiters_.emplace(entry.second->number_, entry.second);
        return true;
    };
    waiters.erase(std::remove_if(waiters.begin(), waiters.end(), isStored), waiters.end());
    if (waiters.empty())
        waiters_.erase(waiting);
}

void JobRecorder::handleRejected(const std::string& message)
{
    isCommitting_ = false;
    const std::size_t size = commitSize();
    const auto records = std::exchange(committing_, {});
    const auto writes = std::exchange(committingWrites_, {});
    for (const auto& [job, change] : records) {
        if (changed_.count(job) == 0) // else further rows were left for the next commit
            markChanged(job);
    }
    if (size > 1) {
        maxCommitSize_ = size / 2;
        for (const RowUpsert& write : writes) {
            const auto isReplaced = std::any_of(extraWrites_.begin(), extraWrites_.end(), [&write](const RowUpsert& other) { return other.table_ == write.table_ && other.key_ == write.key_; });
            if (!isReplaced)
                extraWrites_.push_back(write);
        }
        return flush();
    }
    for (const auto& [job, change] : records)
        deferRecord(job, change, message);
    for (const RowUpsert& write : writes)
        log_.write("row.rejected", { { "table", write.table_ }, { "key", write.key_ }, { "bytes", write.value_.size() }, { "detail", message } });
    flush();
}

void JobRecorder::deferRecord(const std::string& job, const RecordChange& change, const std::string& message)
{
    std::size_t largest = 0;
    for (const auto& [key, value] : change.writes_)
        largest = std::max(largest, value.size());
    Rejection& rejection = rejected_[job];
    rejection.attempts_ = std::min(rejection.attempts_ + 1, maxRejections);
    rejection.retryAt_ = bootTimeNow() + rejection.attempts_ * rejectionBackoff;
    log_.write("record.rejected", { { "job", job }, { "rejections", rejection.attempts_ }, { "rows", change.writes_.size() }, { "largestRowBytes", largest }, { "detail", message } });
    order_.erase({ changed_.at(job).first, job });
    if (rejection.attempts_ == maxRejections)
        listener_.unstorable_(job);
    queueDeferred();
}

void JobRecorder::queueDeferred()
{
    const Time now = bootTimeNow();
    Time next = Time::max();
    for (const auto& [job, rejection] : rejected_) {
        const auto change = changed_.find(job);
        if (change == changed_.end())
            continue;
        if (rejection.retryAt_ <= now)
            order_.emplace(change->second.first, job);
        else
            next = std::min(next, rejection.retryAt_);
    }
    if (next == Time::max())
        return;
    deferredTimer_.start(remaining(next, now), [this] {
        queueDeferred();
        flush();
    });
}

}
