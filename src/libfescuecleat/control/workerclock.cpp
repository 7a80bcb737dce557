#include "control/workerclock.h"

#include "control/clockdrift.h"

namespace fescuecleat {

void WorkerClock::observed(std::int64_t clockMicros, Time receivedAt)
{
    if (isKnown_ && receivedAt < receivedAt_)
        return;
    isKnown_ = true;
    clockMicros_ = clockMicros;
    receivedAt_ = receivedAt;
}

std::optional<std::int64_t> WorkerClock::startBefore(Time deadline) const
{
    if (!isKnown_ || deadline <= receivedAt_)
        return std::nullopt;
    const Duration remainingTime = minRemoteElapsed(deadline - receivedAt_);
    if (remainingTime <= Duration::zero())
        return std::nullopt;
    return clockMicros_ + remainingTime.count();
}

}
