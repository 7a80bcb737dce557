#pragma once

#include "base/time.h"
#include "platform/writepriority.h"

#include <algorithm>

namespace fescuecleat {

/** Row writes that one instance may send. */
struct WriteBudgetLimits {
    /** Rows a second in the long run. */
    double rowsPerSecond_ = 60;
    /** Rows that may be sent at once after a pause. */
    double burst_ = 120;
};

/**
 * A token bucket with a reserve for each higher priority: background writes
 * leave half of the burst to others, records leave a tenth to control, and
 * control is never refused, only counted. Pure.
 */
class WriteBudget {
public:
    WriteBudget(const WriteBudgetLimits& limits, Time now)
        : limits_(limits)
        , tokens_(limits.burst_)
        , filledAt_(now)
    {
    }

    /** Takes the rows from the budget if the priority may have them now. */
    bool take(std::size_t rows, WritePriority priority, Time now)
    {
        fill(now);
        const auto cost = static_cast<double>(rows);
        // A transaction larger than the bucket passes once the bucket is full.
        const double needed = std::min(cost + reserve(priority), limits_.burst_);
        if (priority != WritePriority::Control && tokens_ < needed)
            return false;
        tokens_ -= cost;
        return true;
    }

    /** When take() of the same would succeed, if nobody else takes before. */
    Time nextChance(std::size_t rows, WritePriority priority, Time now) const
    {
        const double needed = std::min(static_cast<double>(rows) + reserve(priority), limits_.burst_) - tokens_;
        const double seconds = std::max(needed, 0.0) / limits_.rowsPerSecond_;
        return std::max(now, filledAt_ + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)) + Duration(1));
    }

    double tokens() const { return tokens_; }

private:
    double reserve(WritePriority priority) const
    {
        constexpr double shareForRecords = 0.5;
        constexpr double shareForControl = 0.1;
        if (priority == WritePriority::Background)
            return limits_.burst_ * shareForRecords;
        return priority == WritePriority::Record ? limits_.burst_ * shareForControl : 0;
    }

    void fill(Time now)
    {
        const double seconds = std::chrono::duration<double>(std::max(now - filledAt_, Duration::zero())).count();
        tokens_ = std::min(limits_.burst_, tokens_ + seconds * limits_.rowsPerSecond_);
        filledAt_ = std::max(filledAt_, now);
    }

    WriteBudgetLimits limits_;
    double tokens_;
    Time filledAt_;
};

}
