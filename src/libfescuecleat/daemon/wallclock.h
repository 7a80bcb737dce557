#pragma once

#include <chrono>
#include <cstdint>

namespace fescuecleat {

/** Wall clock in milliseconds since 1970; for people and ages, never for safety. */
inline std::int64_t wallClockMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}
