#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace fescuecleat {

/**
 * Converts a local deadline to the clock of a worker. The worker read its clock
 * before its answer arrived here, so since the arrival its clock shows at least
 * that value plus the elapsed time less the drift. A task that the worker starts
 * before startBefore() by its own clock therefore starts before the deadline.
 */
class WorkerClock {
public:
    /** An answer that arrived at `receivedAt` carried this value of the clock of the worker. */
    void observed(std::int64_t clockMicros, Time receivedAt);

    /**
     * A clock value of the worker, in microseconds, that it has reached by
     * `deadline` at the latest; empty if the clock is unknown or the deadline
     * is not after the newest reading.
     */
    std::optional<std::int64_t> startBefore(Time deadline) const;

private:
    bool isKnown_ = false;
    std::int64_t clockMicros_ = 0;
    Time receivedAt_;
};

}
