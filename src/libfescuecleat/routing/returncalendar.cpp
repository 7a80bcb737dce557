#include "routing/returncalendar.h"

#include <algorithm>

namespace fescuecleat {

Time ReturnCalendar::next(Time now, Duration backlog, Duration pace, RandomSource& random)
{
    const Time earliest = now + std::max(backlog, shortestDelay);
    newest_ = std::max(newest_ + pace, earliest);
    newest_ = std::min(newest_, now + longestDelay);
    // Jitter of up to half the delay keeps callers apart once the calendar is full.
    const Duration delay = newest_ - now;
    const Duration jitter(static_cast<Duration::rep>(random.unit() * static_cast<double>(delay.count()) / 2));
    return newest_ + jitter;
}

}
