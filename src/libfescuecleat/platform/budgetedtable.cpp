#include "platform/budgetedtable.h"

namespace fescuecleat {

BudgetedTable::BudgetedTable(Table& table, const WriteBudgetLimits& limits)
    : table_(table)
    , budget_(limits, monotonicNow())
{
}

Result<CommitOutcome> BudgetedTable::commit(const Transaction& transaction, Time deadline)
{
    const WritePriority priority = priorityOf(transaction);
    const std::size_t rows = transaction.writes_.size();
    {
        std::unique_lock<std::mutex> lock(mutex_);
        bool isDelayed = false;
        for (Time now = monotonicNow(); !budget_.tryTake(rows, priority, now); now = monotonicNow()) {
            const Time availableAt = budget_.nextAvailable(rows, priority, now);
            if (availableAt >= deadline) {
                ++counts_.refused_;
                return failure(ErrorKind::Overloaded, "the write budget of this instance allows no commit before the deadline", "try again later or distribute the load over more instances");
            }
            counts_.delayed_ += isDelayed ? 0 : 1;
            isDelayed = true;
            refilled_.wait_until(lock, availableAt);
        }
        counts_.rows_ += rows;
    }
    return table_.commit(transaction, deadline);
}

BudgetCounts BudgetedTable::counts() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return counts_;
}

}
