#include "node/virtualclock.h"

#include "base/bootclock.h"
#include "net/timer.h"

#include <optional>

namespace fescuecleat {

namespace {

    constexpr std::int64_t virtualEpochUnixMs = 1700000000000;

    std::optional<Time>& virtualNow()
    {
        static std::optional<Time> now;
        return now;
    }

}

// These definitions take the place of those in base/bootclock.cpp, which the linker leaves out of this program.

Time bootTimeNow()
{
    return virtualNow().value_or(monotonicNow());
}

std::int64_t unixMsNow()
{
    if (virtualNow())
        return virtualEpochUnixMs + wholeMilliseconds(virtualNow()->time_since_epoch());
    return wholeMilliseconds(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

VirtualClock::VirtualClock()
{
    virtualNow() = Time(std::chrono::seconds(1000));
}

VirtualClock::~VirtualClock()
{
    virtualNow().reset();
}

void VirtualClock::poll(boost::asio::io_context& loop)
{
    // The loop asks the kernel when to look at its timers, and the kernel's answer takes a moment:
    // once this timer has fired, all others that are due have, too.
    bool hasLooked = false;
    Timer past(loop);
    past.start(-bootTimeNow().time_since_epoch(), [&hasLooked] { hasLooked = true; });
    loop.restart();
    while (!hasLooked)
        loop.poll();
    loop.poll();
}

void VirtualClock::advance(Duration duration)
{
    *virtualNow() += duration;
}

}
