#pragma once

#include "base/time.h"
#include "routing/randomsource.h"

namespace fescuecleat {

/**
 * Assigns retry times to refused callers, one after the other at the rate at
 * which requests are completed, so that they don't retry at the same time.
 */
class RetrySchedule {
public:
    /** `backlog` is the time needed for the queued requests, `interval` the mean time between two completions. */
    Time next(Time now, Duration backlog, Duration interval, RandomSource&);

private:
    static constexpr Duration minDelay { std::chrono::milliseconds(200) };
    static constexpr Duration maxDelay { std::chrono::seconds(30) };

    Time lastRetryAt_;
};

}
