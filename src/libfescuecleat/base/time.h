#pragma once

#include <chrono>
#include <cstdint>

namespace fescuecleat {

/** Durations have microsecond resolution throughout. */
using Duration = std::chrono::microseconds;

/**
 * A time point of the local monotonic clock. Time points of different machines
 * aren't comparable, so messages carry remaining durations instead.
 */
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Time left until `deadline`; zero once it has passed. */
inline Duration remaining(Time deadline, Time now)
{
    return deadline > now ? deadline - now : Duration::zero();
}

/** Converts to whole milliseconds, truncated, for messages and logs. */
inline std::int64_t wholeMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** Reads the local monotonic clock. Only I/O code calls this; decision logic takes the time as a parameter. */
inline Time monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

}
