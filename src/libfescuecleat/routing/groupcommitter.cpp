#include "routing/groupcommitter.h"

#include <algorithm>
#include <set>

namespace fescuecleat {

namespace {

    constexpr std::size_t maxBatchWrites = 64;
    /** A slow table blocks a batch for at most this long. */
    constexpr Duration commitTimeout { std::chrono::seconds(2) };
    /** Pause before failed background writes are retried. */
    constexpr Duration retryBackoff { std::chrono::milliseconds(200) };

}

GroupCommitter::GroupCommitter(Table& table, std::string writeIdPrefix)
    : table_(table)
    , writeIdPrefix_(std::move(writeIdPrefix))
    , thread_([this] { run(); })
{
}

GroupCommitter::~GroupCommitter()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        isStopping_ = true;
    }
    queueChanged_.notify_all();
    thread_.join();
}

Result<CommitOutcome> GroupCommitter::write(ConditionalWrite write, Time deadline)
{
    const auto entry = std::make_shared<Entry>();
    entry->write_ = std::move(write);
    entry->deadline_ = deadline;
    std::unique_lock<std::mutex> lock(mutex_);
    if (isStopping_)
        return failure(ErrorKind::Unavailable, "the instance is stopping and writes no more claims", "send the request to another instance");
    queue_.push_back(entry);
    queueChanged_.notify_one();
    completed_.wait_until(lock, deadline, [&] { return entry->outcome_.has_value(); });
    if (entry->outcome_)
        return *entry->outcome_;
    const auto queued = std::find(queue_.begin(), queue_.end(), entry);
    if (queued != queue_.end()) {
        queue_.erase(queued);
        return failure(ErrorKind::Unavailable, "the write was still queued at its deadline", "try again later");
    }
    return failure(ErrorKind::OutcomeUnknown, "the table did not answer before the deadline", "read the row back");
}

void GroupCommitter::writeInBackground(ConditionalWrite write, Time deadline)
{
    const auto entry = std::make_shared<Entry>();
    entry->write_ = std::move(write);
    entry->deadline_ = deadline;
    entry->isBackground_ = true;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        queue_.push_back(entry);
    }
    queueChanged_.notify_one();
}

std::size_t GroupCommitter::pending() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return queue_.size() + inFlight_;
}

void GroupCommitter::run()
{
    while (true) {
        std::unique_lock<std::mutex> lock(mutex_);
        queueChanged_.wait(lock, [&] { return isStopping_ || !queue_.empty(); });
        if (queue_.empty())
            return;
        const std::vector<EntryPointer> batch = takeBatch(lock);
        lock.unlock();
        if (!batch.empty())
            commitBatch(batch);
    }
}

std::vector<GroupCommitter::EntryPointer> GroupCommitter::takeBatch(std::unique_lock<std::mutex>&)
{
    std::vector<EntryPointer> batch;
    std::deque<EntryPointer> rest;
    std::set<std::string> keys;
    for (EntryPointer& entry : queue_) {
        // A transaction writes a row at most once; a second write goes into the next batch.
        if (batch.size() < maxBatchWrites && keys.insert(entry->write_.condition_.key_).second)
            batch.push_back(std::move(entry));
        else
            rest.push_back(std::move(entry));
    }
    queue_ = std::move(rest);
    inFlight_ = batch.size();
    return batch;
}

void GroupCommitter::commitBatch(const std::vector<EntryPointer>& batch)
{
    Transaction transaction;
    Time deadline = monotonicNow();
    const Time commitDeadline = deadline + commitTimeout;
    transaction.writeId_ = writeIdPrefix_ + "-" + std::to_string(++commitCount_);
    for (const EntryPointer& entry : batch) {
        transaction.conditions_.push_back(entry->write_.condition_);
        transaction.writes_.push_back(entry->write_.write_);
        deadline = std::max(deadline, entry->deadline_);
    }
    const Result<CommitOutcome> outcome = table_.commit(transaction, std::min(deadline, commitDeadline));
    const Conflicted* conflict = outcome ? std::get_if<Conflicted>(&*outcome) : nullptr;
    if (conflict != nullptr)
        completeConflict(batch, *conflict);
    else
        completeBatch(batch, outcome);
}

void GroupCommitter::completeBatch(const std::vector<EntryPointer>& batch, const Result<CommitOutcome>& outcome)
{
    bool hasRequeued = false;
    bool isStopping = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        isStopping = isStopping_;
        inFlight_ = 0;
        for (const EntryPointer& entry : batch) {
            if (!outcome && entry->isBackground_ && requeueUnlessExpired(entry))
                hasRequeued = true;
            else
                entry->outcome_ = outcome;
        }
    }
    completed_.notify_all();
    if (hasRequeued && !isStopping)
        std::this_thread::sleep_for(retryBackoff);
}

void GroupCommitter::completeConflict(const std::vector<EntryPointer>& batch, const Conflicted& conflict)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        inFlight_ = 0;
        bool hasConflictingWrite = false;
        for (const EntryPointer& entry : batch) {
            const auto row = std::find_if(conflict.current_.begin(), conflict.current_.end(),
                [&](const Row& current) { return current.key_ == entry->write_.condition_.key_; });
            if (row == conflict.current_.end())
                continue;
            entry->outcome_ = CommitOutcome(Conflicted { { *row } });
            hasConflictingWrite = true;
        }
        for (const EntryPointer& entry : batch) {
            if (entry->outcome_)
                continue;
            // Writes without a conflict of their own go into the next transaction.
            if (hasConflictingWrite)
                queue_.push_front(entry);
            else
                entry->outcome_ = failure(ErrorKind::Unavailable, "the table reported a conflict without a conflicting row", "check the platform");
        }
    }
    completed_.notify_all();
}

bool GroupCommitter::requeueUnlessExpired(const EntryPointer& entry)
{
    if (monotonicNow() >= entry->deadline_)
        return false;
    queue_.push_back(entry);
    return true;
}

}
