#pragma once

#include "base/time.h"
#include "routing/randomsource.h"

namespace fescuecleat {

/**
 * Tells refused callers when to come back, one after the other at the pace of
 * the capacity, so that they don't return together.
 */
class ReturnCalendar {
public:
    /** `backlog` is the time until what waits now is done, `pace` the time between two ends of requests. */
    Time next(Time now, Duration backlog, Duration pace, RandomSource&);

private:
    static constexpr Duration shortestDelay { std::chrono::milliseconds(200) };
    static constexpr Duration longestDelay { std::chrono::seconds(30) };

    Time newest_;
};

}
