#include "platform/groupcommittable.h"

#include "platform/writepriority.h"

#include <algorithm>
#include <set>
#include <string>

namespace fescuecleat {

namespace {

    /** Rows that the transactions of a group write or have conditions on. */
    struct AccessedRows {
        std::set<std::string> written_;
        std::set<std::string> conditions_;

        /** True if the result may depend on the order of the group and the transaction. */
        bool conflictsWith(const Transaction& transaction) const
        {
            const bool isWritten = std::any_of(transaction.writes_.begin(), transaction.writes_.end(), [this](const RowWrite& write) {
                return written_.count(write.key_) != 0 || conditions_.count(write.key_) != 0;
            });
            return isWritten || std::any_of(transaction.conditions_.begin(), transaction.conditions_.end(), [this](const RowCondition& condition) {
                return written_.count(condition.key_) != 0;
            });
        }

        void add(const Transaction& transaction)
        {
            for (const RowWrite& write : transaction.writes_)
                written_.insert(write.key_);
            for (const RowCondition& condition : transaction.conditions_)
                conditions_.insert(condition.key_);
        }
    };

    /** Limit on transactions whose group is kept because its outcome is unknown. */
    constexpr std::size_t maxUnresolvedTransactions = 10'000;

    bool isUnknown(const Result<CommitOutcome>& outcome)
    {
        return !outcome && outcome.error().kind_ == ErrorKind::OutcomeUnknown;
    }

    bool isConflict(const Result<CommitOutcome>& outcome)
    {
        return outcome && std::holds_alternative<Conflicted>(*outcome);
    }

    tl::unexpected<Error> deadlinePassed()
    {
        return failure(ErrorKind::Unavailable, "the commit was still queued at its deadline and was not sent", "try again when the platform is less loaded");
    }

}

GroupCommitTable::GroupCommitTable(Table& table, WriteIds& writeIds, const GroupCommitLimits& limits)
    : table_(table)
    , writeIds_(writeIds)
    , limits_(limits)
{
    for (std::size_t i = 0; i < limits_.commits_; ++i)
        threads_.emplace_back([this] { run(); });
}

GroupCommitTable::~GroupCommitTable()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        isStopping_ = true;
    }
    pendingAdded_.notify_all();
    for (std::thread& thread : threads_)
        thread.join();
}

Result<CommitOutcome> GroupCommitTable::commit(const Transaction& transaction, Time deadline)
{
    if (priorityOf(transaction) == WritePriority::Control)
        return table_.commit(transaction, deadline);
    if (const std::shared_ptr<const Transaction> group = unresolvedGroup(transaction.writeId_)) {
        Result<CommitOutcome> outcome = table_.commit(*group, deadline);
        if (!isConflict(outcome))
            return outcome;
        // The conflict is final: the group never takes effect, so the transaction is committed on its own.
        return table_.commit(transaction, deadline);
    }
    PendingCommit pending;
    pending.transaction_ = &transaction;
    pending.deadline_ = deadline;
    std::unique_lock<std::mutex> lock(mutex_);
    pending_.push_back(&pending);
    pendingAdded_.notify_one();
    // Once taken, the transaction is answered by the deadline of its group, which is not later than its own.
    groupFinished_.wait(lock, [&] { return pending.isDone_; });
    return pending.outcome_;
}

void GroupCommitTable::rememberUnresolved(const Group& group, const std::shared_ptr<const Transaction>& merged)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const PendingCommit* pending : group) {
        unresolved_[pending->transaction_->writeId_] = merged;
        unresolvedOrder_.push_back(pending->transaction_->writeId_);
    }
    while (unresolvedOrder_.size() > maxUnresolvedTransactions) {
        unresolved_.erase(unresolvedOrder_.front());
        unresolvedOrder_.pop_front();
    }
}

std::shared_ptr<const Transaction> GroupCommitTable::unresolvedGroup(const std::string& writeId) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto at = unresolved_.find(writeId);
    return at == unresolved_.end() ? nullptr : at->second;
}

void GroupCommitTable::run()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (true) {
        pendingAdded_.wait(lock, [this] { return isStopping_ || !pending_.empty(); });
        if (isStopping_)
            return;
        const Group group = takeGroup(monotonicNow());
        lock.unlock();
        if (!group.empty())
            commitGroup(group);
        lock.lock();
    }
}

/** Takes pending transactions in order, skipping those that conflict with the group. */
GroupCommitTable::Group GroupCommitTable::takeGroup(Time now)
{
    Group group;
    AccessedRows rows;
    std::deque<PendingCommit*> remaining;
    for (PendingCommit* pending : pending_) {
        if (pending->deadline_ <= now) {
            pending->outcome_ = deadlinePassed();
            pending->isDone_ = true;
            continue;
        }
        if (group.size() >= limits_.transactions_ || rows.conflictsWith(*pending->transaction_)) {
            remaining.push_back(pending);
            continue;
        }
        rows.add(*pending->transaction_);
        group.push_back(pending);
    }
    pending_.swap(remaining);
    if (!pending_.empty())
        pendingAdded_.notify_one();
    groupFinished_.notify_all();
    return group;
}

void GroupCommitTable::commitGroup(const Group& group)
{
    const auto mergedTransaction = std::make_shared<Transaction>();
    Transaction& merged = *mergedTransaction;
    Time deadline = Time::max();
    for (const PendingCommit* pending : group) {
        merged.conditions_.insert(merged.conditions_.end(), pending->transaction_->conditions_.begin(), pending->transaction_->conditions_.end());
        merged.writes_.insert(merged.writes_.end(), pending->transaction_->writes_.begin(), pending->transaction_->writes_.end());
        deadline = std::min(deadline, pending->deadline_);
    }
    // A single transaction keeps its write id, so that its caller can repeat it.
    merged.writeId_ = group.size() == 1 ? group.front()->transaction_->writeId_ : writeIds_.next();
    const Result<CommitOutcome> outcome = table_.commit(merged, deadline);
    if (isUnknown(outcome) && group.size() > 1)
        rememberUnresolved(group, mergedTransaction);
    if (!isConflict(outcome) || group.size() == 1) {
        finish(group, outcome);
        return;
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++counts_.split_;
    }
    for (PendingCommit* pending : group)
        finish({ pending }, table_.commit(*pending->transaction_, pending->deadline_));
}

void GroupCommitTable::finish(const Group& group, const Result<CommitOutcome>& outcome)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counts_.commits_;
    counts_.transactions_ += group.size();
    for (PendingCommit* pending : group) {
        pending->outcome_ = outcome;
        pending->isDone_ = true;
    }
    groupFinished_.notify_all();
}

GroupCommitCounts GroupCommitTable::counts() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return counts_;
}

}
