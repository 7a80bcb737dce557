#pragma once

#include "base/time.h"
#include "platform/writepriority.h"

#include <algorithm>

namespace fescuecleat {

/** Rate limit on the row writes of one instance. */
struct WriteBudgetLimits {
    /** Sustained rate. */
    double rowsPerSecond_ = 60;
    /** Capacity of the bucket, in rows. */
    double burst_ = 120;
};

/**
 * Token bucket with reserves for higher priorities: background writes leave
 * half of the capacity to the others and record writes leave a tenth to control
 * writes. Control writes always pass and may make the number of tokens negative.
 * Reads no clock.
 */
class WriteBudget {
public:
    WriteBudget(const WriteBudgetLimits& limits, Time now)
        : limits_(limits)
        , tokens_(limits.burst_)
        , refilledAt_(now)
    {
    }

    /** Takes one token for each row. Returns false, taking none, if the priority can't have them now. */
    bool tryTake(std::size_t rows, WritePriority priority, Time now)
    {
        refill(now);
        const auto cost = static_cast<double>(rows);
        // A transaction larger than the capacity passes when the bucket is full.
        const double needed = std::min(cost + reserve(priority), limits_.burst_);
        if (priority != WritePriority::Control && tokens_ < needed)
            return false;
        tokens_ -= cost;
        return true;
    }

    /** When tryTake() with the same arguments would succeed if no tokens are taken before. */
    Time nextAvailable(std::size_t rows, WritePriority priority, Time now) const
    {
        const double needed = std::min(static_cast<double>(rows) + reserve(priority), limits_.burst_) - tokens_;
        const double seconds = std::max(needed, 0.0) / limits_.rowsPerSecond_;
        return std::max(now, refilledAt_ + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)) + Duration(1));
    }

    double tokens() const { return tokens_; }

private:
    double reserve(WritePriority priority) const
    {
        constexpr double backgroundReserveShare = 0.5;
        constexpr double recordReserveShare = 0.1;
        if (priority == WritePriority::Background)
            return limits_.burst_ * backgroundReserveShare;
        return priority == WritePriority::Record ? limits_.burst_ * recordReserveShare : 0;
    }

    void refill(Time now)
    {
        const double seconds = std::chrono::duration<double>(std::max(now - refilledAt_, Duration::zero())).count();
        tokens_ = std::min(limits_.burst_, tokens_ + seconds * limits_.rowsPerSecond_);
        refilledAt_ = std::max(refilledAt_, now);
    }

    WriteBudgetLimits limits_;
    double tokens_;
    Time refilledAt_;
};

}
