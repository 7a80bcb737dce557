#pragma once

#include "base/time.h"

#include <cstdint>
#include <deque>
#include <utility>

namespace fescuecleat {

/** The most accelerators that urgent work held at once of late: a forecast of what it will ask for next. */
class UrgentDemand {
public:
    void observe(std::int64_t accelerators, Time now);
    /** Accelerators that urgent work may ask for beyond what it holds. */
    std::int64_t expectedRise() const;

private:
    /** Falling maxima with their times; the first is the peak. */
    std::deque<std::pair<Time, std::int64_t>> peaks_;
    std::int64_t held_ = 0;
};

}
