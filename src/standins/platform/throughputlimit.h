#pragma once

#include "base/time.h"

#include <algorithm>

namespace fescuecleat::standins {

/** Models a service with limited throughput: calls beyond the limit are queued. */
class ThroughputLimit {
public:
    explicit ThroughputLimit(int callsPerSecond)
        : interval_(std::chrono::duration_cast<Duration>(std::chrono::seconds(1)) / callsPerSecond)
    {
    }

    /** Admits a call and returns the time when it is served. */
    Time admit(Time now)
    {
        busyUntil_ = std::max(busyUntil_, now) + interval_;
        return busyUntil_;
    }

private:
    Duration interval_;
    Time busyUntil_ { Duration::zero() };
};

}
