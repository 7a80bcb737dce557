#include "control/workerclock.h"

#include "control/clockdrift.h"

namespace fescuecleat {

void WorkerClock::observed(std::int64_t clock, Time receivedAt)
{
    if (isKnown_ && receivedAt < receivedAt_)
        return;
    isKnown_ = true;
    clock_ = clock;
    receivedAt_ = receivedAt;
}

std::optional<std::int64_t> WorkerClock::startBefore(Time deadline) const
{
    if (!isKnown_ || deadline <= receivedAt_)
        return std::nullopt;
    const Duration left = shortestElsewhere(deadline - receivedAt_);
    if (left <= Duration::zero())
        return std::nullopt;
    return clock_ + left.count();
}

}
