#pragma once

#include "platform/table.h"
#include "platform/writebudget.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace fescuecleat {

/** Counters of a budgeted table since its start. */
struct BudgetCounts {
    std::uint64_t rows_ = 0;
    std::uint64_t delayed_ = 0;
    std::uint64_t refused_ = 0;
};

/**
 * Holds the writes of this instance within a budget. A commit waits for its
 * turn until its deadline; one that can't get it in time is refused at once as
 * Overloaded, and nothing took effect. Thread-safe.
 */
class BudgetedTable : public Table {
public:
    /** The table outlives this. */
    BudgetedTable(Table&, const WriteBudgetLimits& = {});

    /** Errors besides: Overloaded. */
    Result<CommitOutcome> commit(const Transaction&, Time deadline) override;
    Result<Row> read(const std::string& key, Time deadline) override { return table_.read(key, deadline); }
    Result<RowScan> scan(const std::string& prefix, Time deadline) override { return table_.scan(prefix, deadline); }

    BudgetCounts counts() const;

private:
    Table& table_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    WriteBudget budget_;
    BudgetCounts counts_;
};

}
