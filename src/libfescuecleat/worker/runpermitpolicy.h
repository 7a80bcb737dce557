#pragma once

#include "base/time.h"

namespace fescuecleat {

/** Times of the run permits that a scheduler gives to its workers. */
struct RunPermitPolicy {
    /** Between two renewals of one worker. */
    Duration renewInterval_ { std::chrono::seconds(1) };
    /** How far ahead of its sending a renewal extends the permit. */
    Duration permitTime_ { std::chrono::seconds(15) };
    /** A worker that was silent this long is not extended any more. */
    Duration suspectTime_ { std::chrono::seconds(3) };
    /** How long after its lease lapsed a former holder may still renew. */
    Duration graceTime_ { std::chrono::minutes(10) };
};

}
