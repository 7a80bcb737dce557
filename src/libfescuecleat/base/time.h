#pragma once

#include <chrono>
#include <cstdint>

namespace fescuecleat {

/** Resolution of every duration in the project. */
using Duration = std::chrono::microseconds;

/**
 * A moment of the local monotonic clock. Values of two machines are never
 * compared; what crosses a machine is the time that remains.
 */
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** The time that is left until `deadline`, zero once it has passed. */
inline Duration remaining(Time deadline, Time now)
{
    return deadline > now ? deadline - now : Duration::zero();
}

/** Whole milliseconds, rounded down, as they stand on a wire or in a log. */
inline std::int64_t wholeMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** The local monotonic clock. Only shells call this; decision cores are given the time. */
inline Time monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

}
