#include "platform/groupcommittable.h"

#include "platform/writepriority.h"

#include <algorithm>
#include <set>
#include <string>

namespace fescuecleat {

namespace {

    /** Rows that the transactions of a group write or depend on. */
    struct TouchedRows {
        std::set<std::string> written_;
        std::set<std::string> conditions_;

        /** True if the order of the group and the transaction could matter. */
        bool clashWith(const Transaction& transaction) const
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

    /** Groups with unknown outcomes that are remembered at most, in transactions. */
    constexpr std::size_t mostUnsettled = 10'000;

    bool isUnknown(const Result<CommitOutcome>& outcome)
    {
        return !outcome && outcome.error().kind_ == ErrorKind::OutcomeUnknown;
    }

    bool isConflict(const Result<CommitOutcome>& outcome)
    {
        return outcome && std::holds_alternative<Conflicted>(*outcome);
    }

    tl::unexpected<Error> outOfTime()
    {
        return failure(ErrorKind::Unavailable, "the write was not sent before its deadline", "try again when the platform is less busy");
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
    arrived_.notify_all();
    for (std::thread& thread : threads_)
        thread.join();
}

Result<CommitOutcome> GroupCommitTable::commit(const Transaction& transaction, Time deadline)
{
    if (priorityOf(transaction) == WritePriority::Control)
        return table_.commit(transaction, deadline);
    if (const std::shared_ptr<const Transaction> group = unsettledGroup(transaction.writeId_)) {
        Result<CommitOutcome> outcome = table_.commit(*group, deadline);
        if (!isConflict(outcome))
            return outcome;
        // The group never took effect and never will, so the transaction stands for itself.
        return table_.commit(transaction, deadline);
    }
    Waiting waiting;
    waiting.transaction_ = &transaction;
    waiting.deadline_ = deadline;
    std::unique_lock<std::mutex> lock(mutex_);
    waiting_.push_back(&waiting);
    arrived_.notify_one();
    // Once taken it is answered by its group's deadline, which is not later than its own.
    finished_.wait(lock, [&] { return waiting.isDone_; });
    return waiting.outcome_;
}

void GroupCommitTable::remember(const Group& group, const std::shared_ptr<const Transaction>& joined)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const Waiting* waiting : group) {
        unsettled_[waiting->transaction_->writeId_] = joined;
        unsettledOrder_.push_back(waiting->transaction_->writeId_);
    }
    while (unsettledOrder_.size() > mostUnsettled) {
        unsettled_.erase(unsettledOrder_.front());
        unsettledOrder_.pop_front();
    }
}

std::shared_ptr<const Transaction> GroupCommitTable::unsettledGroup(const std::string& writeId) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto at = unsettled_.find(writeId);
    return at == unsettled_.end() ? nullptr : at->second;
}

void GroupCommitTable::run()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (true) {
        arrived_.wait(lock, [this] { return isStopping_ || !waiting_.empty(); });
        if (isStopping_)
            return;
        const Group group = takeGroup(monotonicNow());
        lock.unlock();
        if (!group.empty())
            commitGroup(group);
        lock.lock();
    }
}

/** Takes transactions in order, leaving out those whose order with one of the group matters. */
GroupCommitTable::Group GroupCommitTable::takeGroup(Time now)
{
    Group group;
    TouchedRows rows;
    std::deque<Waiting*> left;
    for (Waiting* waiting : waiting_) {
        if (waiting->deadline_ <= now) {
            waiting->outcome_ = outOfTime();
            waiting->isDone_ = true;
            continue;
        }
        if (group.size() >= limits_.transactions_ || rows.clashWith(*waiting->transaction_)) {
            left.push_back(waiting);
            continue;
        }
        rows.add(*waiting->transaction_);
        group.push_back(waiting);
    }
    waiting_.swap(left);
    if (!waiting_.empty())
        arrived_.notify_one();
    finished_.notify_all();
    return group;
}

void GroupCommitTable::commitGroup(const Group& group)
{
    const auto joinedTransaction = std::make_shared<Transaction>();
    Transaction& joined = *joinedTransaction;
    Time deadline = Time::max();
    for (const Waiting* waiting : group) {
        joined.conditions_.insert(joined.conditions_.end(), waiting->transaction_->conditions_.begin(), waiting->transaction_->conditions_.end());
        joined.writes_.insert(joined.writes_.end(), waiting->transaction_->writes_.begin(), waiting->transaction_->writes_.end());
        deadline = std::min(deadline, waiting->deadline_);
    }
    // A transaction alone keeps its own write id, by which its caller can find it.
    joined.writeId_ = group.size() == 1 ? group.front()->transaction_->writeId_ : writeIds_.next();
    const Result<CommitOutcome> outcome = table_.commit(joined, deadline);
    if (isUnknown(outcome) && group.size() > 1)
        remember(group, joinedTransaction);
    if (!isConflict(outcome) || group.size() == 1) {
        finish(group, outcome);
        return;
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++counts_.split_;
    }
    for (Waiting* waiting : group)
        finish({ waiting }, table_.commit(*waiting->transaction_, waiting->deadline_));
}

void GroupCommitTable::finish(const Group& group, const Result<CommitOutcome>& outcome)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counts_.commits_;
    counts_.transactions_ += group.size();
    for (Waiting* waiting : group) {
        waiting->outcome_ = outcome;
        waiting->isDone_ = true;
    }
    finished_.notify_all();
}

GroupCommitCounts GroupCommitTable::counts() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return counts_;
}

}
