#pragma once

#include "base/time.h"

#include <algorithm>

namespace fescuecleat::standins {

/** Models a service of limited throughput: calls beyond it queue behind each other. */
class ThroughputLimit {
public:
    explicit ThroughputLimit(int callsPerSecond)
        : interval_(std::chrono::duration_cast<Duration>(std::chrono::seconds(1)) / callsPerSecond)
    {
    }

    /** Admits a call and tells when it is served. */
    Time admit(Time now)
    {
        free_ = std::max(free_, now) + interval_;
        return free_;
    }

private:
    Duration interval_;
    Time free_ { Duration::zero() };
};

}
