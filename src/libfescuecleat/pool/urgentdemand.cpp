#include "pool/urgentdemand.h"

namespace fescuecleat {

namespace {

    /** Peaks older than this no longer count; traffic swings within some ten seconds. */
    constexpr Duration memory = std::chrono::seconds(12);

}

void UrgentDemand::observe(std::int64_t accelerators, Time now)
{
    held_ = accelerators;
    while (!peaks_.empty() && peaks_.back().second <= accelerators)
        peaks_.pop_back();
    peaks_.emplace_back(now, accelerators);
    while (peaks_.front().first + memory < now)
        peaks_.pop_front();
}

std::int64_t UrgentDemand::expectedRise() const
{
    return peaks_.empty() ? 0 : peaks_.front().second - held_;
}

}
