#pragma once

#include "base/time.h"

namespace fescuecleat {

/**
 * Bound on clock drift: while the monotonic clock of one machine advances by
 * d, that of any other advances by at least d - d/1000 and at most d + d/1000.
 * Quartz clocks under NTP stay within half of that. The safety of leases and
 * permits assumes this bound and nothing else about clocks.
 */
constexpr Duration::rep clockDriftDivisor = 1000;

/** Upper bound of the time that passes on a remote clock while `duration` passes on the local one. */
constexpr Duration maxRemoteElapsed(Duration duration)
{
    return duration + duration / clockDriftDivisor + Duration(1);
}

/** Lower bound of the time that passes on a remote clock while `duration` passes on the local one. */
constexpr Duration minRemoteElapsed(Duration duration)
{
    return duration - duration / clockDriftDivisor - Duration(1);
}

/** Local time to wait so that at least `duration` passes on any remote clock. */
constexpr Duration localWaitCovering(Duration duration)
{
    return duration + duration / (clockDriftDivisor - 1) + Duration(1);
}

}
