#pragma once

#include "base/time.h"

#include <cstdint>
#include <deque>
#include <utility>

namespace fescuecleat {

/** Forecasts the accelerator demand of urgent jobs from their recent peak usage. */
class UrgentDemand {
public:
    /** Records the accelerators that urgent jobs currently hold. */
    void observe(std::int64_t accelerators, Time now);
    /** Accelerators that urgent jobs are expected to request beyond their current usage. */
    std::int64_t expectedRise() const;

private:
    /** Strictly decreasing samples of the window with their times; the first is the peak. */
    std::deque<std::pair<Time, std::int64_t>> peaks_;
    std::int64_t current_ = 0;
};

}
