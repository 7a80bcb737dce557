#pragma once

#include "base/time.h"

namespace fescuecleat {

/** Durations of the control protocols. They must be the same in all instances of a deployment. */
struct ControlTiming {
    /** Validity of the scheduler lease from the send time of a renewal. */
    Duration lease_ { std::chrono::milliseconds(3000) };
    /** Time between two renewals. */
    Duration renewal_ { std::chrono::milliseconds(750) };
    /** Time between two reads of the control rows. */
    Duration poll_ { std::chrono::milliseconds(500) };
    /** Validity of the start permit from the send time of a confirmation. */
    Duration startPermit_ { std::chrono::milliseconds(3000) };
    /** Time a worker goes on without a renewal. */
    Duration runPermit_ { std::chrono::seconds(20) };
    /** A worker takes a renewal only so long after it was sent. */
    Duration renewalWindow_ { std::chrono::seconds(2) };
    /** An instance that hears neither holder nor table for so long renews by itself. */
    Duration renewalSilence_ { std::chrono::seconds(5) };
    /** Longest time an instance renews running work without word from the table or the holder. */
    Duration unconfirmedRenewal_ { std::chrono::hours(12) };
};

}
