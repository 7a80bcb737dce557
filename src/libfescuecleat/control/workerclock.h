#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace fescuecleat {

/**
 * Carries a deadline over to a worker's own clock. The worker read its clock
 * before its answer arrived here, so from the arrival on its clock shows at
 * least that value plus the time that passed, less the drift. A start that the
 * worker makes before startBefore() therefore happens before our deadline.
 */
class WorkerClock {
public:
    /** The worker's clock stood at `clock` in an answer that arrived at `receivedAt`. */
    void observed(std::int64_t clock, Time receivedAt);

    /**
     * The worker's clock value, in microseconds, that it has reached by
     * `deadline` at the latest; none if the clock is not known or was read
     * after the deadline.
     */
    std::optional<std::int64_t> startBefore(Time deadline) const;

private:
    bool isKnown_ = false;
    std::int64_t clock_ = 0;
    Time receivedAt_;
};

}
