#include "node/storeclock.h"

namespace fescuecleat {

namespace {

    /** An older estimate is replaced even by a less precise one. */
    constexpr Duration maxEstimateAge = std::chrono::seconds(5);

}

void StoreClock::observe(const StoreTimestamp& timestamp)
{
    lastAnswerAt_ = std::max(lastAnswerAt_, timestamp.answeredAt_);
    const bool isTighter = timestamp.answeredAt_ - timestamp.askedAt_ <= answeredAt_ - askedAt_;
    if (isKnown_ && !isTighter && timestamp.answeredAt_ - answeredAt_ < maxEstimateAge)
        return;
    isKnown_ = true;
    clockMs_ = timestamp.clockMs_;
    askedAt_ = timestamp.askedAt_;
    answeredAt_ = timestamp.answeredAt_;
}

std::int64_t StoreClock::earliestMs(Time now) const
{
    return clockMs_ + wholeMilliseconds(now - answeredAt_);
}

std::int64_t StoreClock::latestMs(Time now) const
{
    return clockMs_ + wholeMilliseconds(now - askedAt_) + 1;
}

Time StoreClock::localTime(std::int64_t storeClockMs, Time now) const
{
    return now - std::chrono::milliseconds(earliestMs(now) - storeClockMs);
}

}
