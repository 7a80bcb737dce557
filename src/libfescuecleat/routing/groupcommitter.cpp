#include "routing/groupcommitter.h"

#include <algorithm>
#include <set>

namespace fescuecleat {

namespace {

    constexpr std::size_t largestBatch = 64;
    /** A slow table holds up one batch for this long at most. */
    constexpr Duration longestCommit { std::chrono::seconds(2) };
    /** Pause before background writes are tried again. */
    constexpr Duration retryPause { std::chrono::milliseconds(200) };

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
    wake_.notify_all();
    thread_.join();
}

Result<CommitOutcome> GroupCommitter::write(ConditionalWrite write, Time deadline)
{
    const auto entry = std::make_shared<Entry>();
    entry->write_ = std::move(write);
    entry->deadline_ = deadline;
    std::unique_lock<std::mutex> lock(mutex_);
    if (isStopping_)
        return failure(ErrorKind::Unavailable, "claims are no longer written", "send the request to another instance");
    queue_.push_back(entry);
    wake_.notify_one();
    settled_.wait_until(lock, deadline, [&] { return entry->outcome_.has_value(); });
    if (entry->outcome_)
        return *entry->outcome_;
    const auto queued = std::find(queue_.begin(), queue_.end(), entry);
    if (queued != queue_.end()) {
        queue_.erase(queued);
        return failure(ErrorKind::Unavailable, "the table is too slow for the deadline", "try again later");
    }
    return failure(ErrorKind::OutcomeUnknown, "the table did not answer in time", "read the row back");
}

void GroupCommitter::writeLater(ConditionalWrite write, Time deadline)
{
    const auto entry = std::make_shared<Entry>();
    entry->write_ = std::move(write);
    entry->deadline_ = deadline;
    entry->isBackground_ = true;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        queue_.push_back(entry);
    }
    wake_.notify_one();
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
        wake_.wait(lock, [&] { return isStopping_ || !queue_.empty(); });
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
        // One write of a row in a transaction; a second one waits for the next.
        if (batch.size() < largestBatch && keys.insert(entry->write_.condition_.key_).second)
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
    const Time latest = deadline + longestCommit;
    transaction.writeId_ = writeIdPrefix_ + "-" + std::to_string(++commits_);
    for (const EntryPointer& entry : batch) {
        transaction.conditions_.push_back(entry->write_.condition_);
        transaction.writes_.push_back(entry->write_.write_);
        deadline = std::max(deadline, entry->deadline_);
    }
    const Result<CommitOutcome> outcome = table_.commit(transaction, std::min(deadline, latest));
    const Conflicted* conflict = outcome ? std::get_if<Conflicted>(&*outcome) : nullptr;
    if (conflict != nullptr)
        settleConflict(batch, *conflict);
    else
        settle(batch, outcome);
}

void GroupCommitter::settle(const std::vector<EntryPointer>& batch, const Result<CommitOutcome>& outcome)
{
    bool isAgain = false;
    bool isStopping = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        isStopping = isStopping_;
        inFlight_ = 0;
        for (const EntryPointer& entry : batch) {
            if (!outcome && entry->isBackground_ && tryAgain(entry))
                isAgain = true;
            else
                entry->outcome_ = outcome;
        }
    }
    settled_.notify_all();
    if (isAgain && !isStopping)
        std::this_thread::sleep_for(retryPause);
}

void GroupCommitter::settleConflict(const std::vector<EntryPointer>& batch, const Conflicted& conflict)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        inFlight_ = 0;
        bool isNamed = false;
        for (const EntryPointer& entry : batch) {
            const auto row = std::find_if(conflict.current_.begin(), conflict.current_.end(),
                [&](const Row& current) { return current.key_ == entry->write_.condition_.key_; });
            if (row == conflict.current_.end())
                continue;
            entry->outcome_ = CommitOutcome(Conflicted { { *row } });
            isNamed = true;
        }
        for (const EntryPointer& entry : batch) {
            if (entry->outcome_)
                continue;
            // The others did nothing wrong and go into the next transaction.
            if (isNamed)
                queue_.push_front(entry);
            else
                entry->outcome_ = failure(ErrorKind::Unavailable, "the table named no row in its conflict", "check the platform");
        }
    }
    settled_.notify_all();
}

bool GroupCommitter::tryAgain(const EntryPointer& entry)
{
    if (monotonicNow() >= entry->deadline_)
        return false;
    queue_.push_back(entry);
    return true;
}

}
