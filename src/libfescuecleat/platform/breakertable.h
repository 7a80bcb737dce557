#pragma once

#include "platform/circuitbreaker.h"
#include "platform/table.h"

#include <cstdint>
#include <mutex>

namespace fescuecleat {

/**
 * Refuses calls at once, as Unavailable, while the table doesn't answer. So a
 * store outage costs callers no waiting and the store, as it comes back, no
 * burst. A refused call never left the process. Thread-safe.
 */
class BreakerTable : public Table {
public:
    /** The table outlives this. */
    explicit BreakerTable(Table&, const CircuitBreakerLimits& = {});

    Result<CommitOutcome> commit(const Transaction&, Time deadline) override;
    Result<Row> read(const std::string& key, Time deadline) override;
    Result<RowScan> scan(const std::string& prefix, Time deadline) override;

    bool isOpen() const;
    /** Calls that were refused since the start. */
    std::uint64_t refused() const;

private:
    template <typename Call>
    auto guarded(Call call) -> decltype(call());

    Table& table_;
    mutable std::mutex mutex_;
    CircuitBreaker breaker_;
    std::uint64_t refused_ = 0;
};

}
