#include "routing/retryschedule.h"

#include <algorithm>

namespace fescuecleat {

Time RetrySchedule::next(Time now, Duration backlog, Duration interval, RandomSource& random)
{
    const Time earliest = now + std::max(backlog, minDelay);
    lastRetryAt_ = std::max(lastRetryAt_ + interval, earliest);
    lastRetryAt_ = std::min(lastRetryAt_, now + maxDelay);
    // At maxDelay all callers get the same time; jitter of up to half the delay separates them.
    const Duration delay = lastRetryAt_ - now;
    const Duration jitter(static_cast<Duration::rep>(random.unit() * static_cast<double>(delay.count()) / 2));
    return lastRetryAt_ + jitter;
}

}
