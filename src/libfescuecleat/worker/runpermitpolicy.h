#pragma once

#include "base/time.h"

namespace fescuecleat {

/** Timing of the run permits that a scheduler grants to its workers. */
struct RunPermitPolicy {
    /** Interval between renewals of one worker. */
    Duration renewalInterval_ { std::chrono::seconds(1) };
    /** Validity of a permit, counted from the sending of its renewal. */
    Duration permitDuration_ { std::chrono::seconds(15) };
    /** A worker that has not answered for this long is unreachable; its permit is not extended. */
    Duration suspectTimeout_ { std::chrono::seconds(3) };
    /** Time after the expiry of its lease during which a former holder may still renew. */
    Duration gracePeriod_ { std::chrono::minutes(10) };
};

}
