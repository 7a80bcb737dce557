#pragma once

#include "base/time.h"

#include <cstdint>

namespace fescuecleat {

/** Time since boot including suspension, so that leases expire while the machine is suspended. */
Time bootTimeNow();
/** Milliseconds since the Unix epoch by the system clock, which may jump. */
std::int64_t unixMsNow();

/** bootTimeNow() as a standard clock, for timers. */
struct BootClock : std::chrono::steady_clock {
    static time_point now() { return bootTimeNow(); }
};

}
