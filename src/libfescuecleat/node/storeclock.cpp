#include "node/storeclock.h"

namespace fescuecleat {

namespace {

    /** An older estimate is replaced even by a less precise one. */
    constexpr Duration maxEstimateAge = std::chrono::seconds(5);

}

void StoreClock::observe(const StoreMoment& moment)
{
    lastAnswerAt_ = std::max(lastAnswerAt_, moment.answeredAt_);
    const bool isTighter = moment.answeredAt_ - moment.askedAt_ <= answeredAt_ - askedAt_;
    if (isKnown_ && !isTighter && moment.answeredAt_ - answeredAt_ < maxEstimateAge)
        return;
    isKnown_ = true;
    clockMs_ = moment.clockMs_;
    askedAt_ = moment.askedAt_;
    answeredAt_ = moment.answeredAt_;
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
