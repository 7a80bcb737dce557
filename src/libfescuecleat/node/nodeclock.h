#pragma once

#include "base/time.h"

#include <cstdint>

namespace fescuecleat {

/** Time since boot, counting suspension: a lease must not outlive a suspended machine. */
Time bootTimeNow();
/** The time of day; may jump. */
std::int64_t unixMsNow();

}
