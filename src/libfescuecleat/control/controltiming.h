#pragma once

#include "base/time.h"

namespace fescuecleat {

/** Durations of the lease and permit protocols. All instances of a deployment must use the same values. */
struct ControlTiming {
    /** Validity of the scheduler lease, counted from the sending of a renewal. */
    Duration leaseDuration_ { std::chrono::milliseconds(3000) };
    /** Interval between renewals of the lease. */
    Duration renewalInterval_ { std::chrono::milliseconds(750) };
    /** Interval between reads of the control rows. */
    Duration pollInterval_ { std::chrono::milliseconds(500) };
    /** Validity of a start permit, counted from the sending of the read that confirmed it. */
    Duration startPermitDuration_ { std::chrono::milliseconds(3000) };
    /** Time that a worker keeps running tasks after a renewal. */
    Duration runPermitDuration_ { std::chrono::seconds(20) };
    /** Maximum age at which a worker still accepts a renewal. */
    Duration renewalAcceptanceWindow_ { std::chrono::seconds(2) };
    /** An instance without contact to the lease holder and the table for this long starts to renew run permits itself. */
    Duration fallbackRenewalDelay_ { std::chrono::seconds(5) };
    /** Limit on renewing run permits without contact to the table or the lease holder. */
    Duration maxFallbackRenewal_ { std::chrono::hours(12) };
};

}
