#pragma once

#include <chrono>
#include <cstdint>

namespace fescuecleat {

/** Milliseconds since 1970. Only for display and for ages, never where safety depends on the clock. */
inline std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}
