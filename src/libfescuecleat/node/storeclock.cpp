#include "node/storeclock.h"

namespace fescuecleat {

namespace {

    /** An estimate as old as this is replaced by any newer one. */
    constexpr Duration maxAge = std::chrono::seconds(5);

}

void StoreClock::observe(const StoreMoment& moment)
{
    lastAnswer_ = std::max(lastAnswer_, moment.answeredAt_);
    const bool isTighter = moment.answeredAt_ - moment.askedAt_ <= answeredAt_ - askedAt_;
    if (isKnown_ && !isTighter && moment.answeredAt_ - answeredAt_ < maxAge)
        return;
    isKnown_ = true;
    clockMs_ = moment.clockMs_;
    askedAt_ = moment.askedAt_;
    answeredAt_ = moment.answeredAt_;
}

std::int64_t StoreClock::earliest(Time now) const
{
    return clockMs_ + wholeMilliseconds(now - answeredAt_);
}

std::int64_t StoreClock::latest(Time now) const
{
    return clockMs_ + wholeMilliseconds(now - askedAt_) + 1;
}

Time StoreClock::localTime(std::int64_t storeMs, Time now) const
{
    return now - std::chrono::milliseconds(earliest(now) - storeMs);
}

}
