#include "base/bootclock.h"

#include <ctime>

namespace fescuecleat {

namespace {

    Duration readClock(clockid_t clock)
    {
        timespec value {};
        ::clock_gettime(clock, &value);
        return std::chrono::seconds(value.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(value.tv_nsec));
    }

}

Time bootTimeNow()
{
    return Time(readClock(CLOCK_BOOTTIME));
}

std::int64_t unixMsNow()
{
    return wholeMilliseconds(readClock(CLOCK_REALTIME));
}

}
