#pragma once

#include "base/time.h"

namespace fescuecleat {

/**
 * Bound on clock drift: while one machine's monotonic clock advances by d,
 * that of any other advances by at least d - d/1000 and at most d + d/1000.
 * Quartz clocks under NTP stay within half of that. Every timing argument of
 * the project rests on this constant and on no other property of clocks.
 */
constexpr Duration::rep maxClockDriftDivisor = 1000;

/** The longest time that another clock may show while ours shows `duration`. */
constexpr Duration longestElsewhere(Duration duration)
{
    return duration + duration / maxClockDriftDivisor + Duration(1);
}

/** The shortest time that another clock may show while ours shows `duration`. */
constexpr Duration shortestElsewhere(Duration duration)
{
    return duration - duration / maxClockDriftDivisor - Duration(1);
}

/** How long to wait on our clock until another clock has certainly shown `duration`. */
constexpr Duration waitToCover(Duration duration)
{
    return duration + duration / (maxClockDriftDivisor - 1) + Duration(1);
}

}
