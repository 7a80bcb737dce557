#pragma once

#include "platform/circuitbreaker.h"
#include "platform/table.h"

#include <cstdint>
#include <mutex>

namespace fescuecleat {

/**
 * Table with a circuit breaker: while the table does not answer, calls fail at
 * once with Unavailable and are not sent. During an outage callers don't wait,
 * and the table is not hit by a burst of calls when it recovers. Thread-safe.
 */
class BreakerTable : public Table {
public:
    /** The table must outlive this object. */
    explicit BreakerTable(Table&, const CircuitBreakerLimits& = {});

    Result<CommitOutcome> commit(const Transaction&, Time deadline) override;
    Result<Row> read(const std::string& key, Time deadline) override;
    Result<RowScan> scan(const std::string& prefix, Time deadline) override;

    bool isOpen() const;
    /** Number of calls refused since the start. */
    std::uint64_t refused() const;

private:
    template <typename Call>
    auto callThroughBreaker(Call call) -> decltype(call());

    Table& table_;
    mutable std::mutex mutex_;
    CircuitBreaker breaker_;
    std::uint64_t refused_ = 0;
};

}
