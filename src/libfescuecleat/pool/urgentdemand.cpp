#include "pool/urgentdemand.h"

namespace fescuecleat {

namespace {

    /** Window of the peak detection; urgent demand rises and falls within about ten seconds. */
    constexpr Duration peakWindow = std::chrono::seconds(12);

}

void UrgentDemand::observe(std::int64_t accelerators, Time now)
{
    current_ = accelerators;
    while (!peaks_.empty() && peaks_.back().second <= accelerators)
        peaks_.pop_back();
    peaks_.emplace_back(now, accelerators);
    while (peaks_.front().first + peakWindow < now)
        peaks_.pop_front();
}

std::int64_t UrgentDemand::expectedRise() const
{
    return peaks_.empty() ? 0 : peaks_.front().second - current_;
}

}
