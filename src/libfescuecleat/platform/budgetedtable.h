#pragma once

#include "platform/table.h"
#include "platform/writebudget.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace fescuecleat {

/** Counters since the start. */
struct BudgetCounts {
    std::uint64_t rows_ = 0;
    std::uint64_t delayed_ = 0;
    std::uint64_t refused_ = 0;
};

/**
 * Table with a rate limit on the row writes of this instance. A commit blocks
 * until the budget allows it; if that would be after its deadline, it fails at
 * once with Overloaded and has no effect. Thread-safe.
 */
class BudgetedTable : public Table {
public:
    /** The table must outlive this object. */
    BudgetedTable(Table&, const WriteBudgetLimits& = {});

    /** Errors: Overloaded, and those of Table::commit(). */
    Result<CommitOutcome> commit(const Transaction&, Time deadline) override;
    Result<Row> read(const std::string& key, Time deadline) override { return table_.read(key, deadline); }
    Result<RowScan> scan(const std::string& prefix, Time deadline) override { return table_.scan(prefix, deadline); }

    BudgetCounts counts() const;

private:
    Table& table_;
    mutable std::mutex mutex_;
    std::condition_variable refilled_;
    WriteBudget budget_;
    BudgetCounts counts_;
};

}
