#pragma once

#include "base/time.h"

namespace fescuecleat {

/** How calls to the platform are repeated until their deadline. */
struct RetryPolicy {
    /** Pause after the first failed attempt; each later pause is twice as long. */
    Duration firstPause_ { std::chrono::milliseconds(20) };
    Duration longestPause_ { std::chrono::milliseconds(500) };
    /** Longest wait for one answer, so that a silent connection leaves time for a new one. */
    Duration attemptTime_ { std::chrono::seconds(1) };
};

}
