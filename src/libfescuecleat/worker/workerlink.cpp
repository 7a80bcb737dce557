#include "worker/workerlink.h"

#include "control/clockdrift.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** A renewal that isn't answered by then is given up. */
    constexpr Duration answerTime = std::chrono::seconds(1);

}

WorkerLink::WorkerLink(const RunPermitPolicy& policy, Time priorUntil, Time now)
    : policy_(policy)
    , permitUntil_(priorUntil)
    , nextRenewal_(now)
    , lastHeard_(now)
{
}

bool WorkerLink::isReachable(Time now) const
{
    return wasReached_ && now < lastHeard_ + policy_.suspectTime_;
}

bool WorkerLink::isLost(Time now) const
{
    return !isReachable(now) && now > permitUntil_;
}

RenewalPlan WorkerLink::plan(Time now)
{
    nextRenewal_ = now + policy_.renewInterval_;
    hasExtended_ = false;
    RenewalPlan plan;
    plan.deadline_ = now + answerTime;
    if (!clock_ || !isReachable(now))
        return plan;
    const Time until = now + policy_.permitTime_;
    plan.untilMicros_ = *toWorkerClock(until);
    permitUntil_ = std::max(permitUntil_, until);
    hasExtended_ = true;
    return plan;
}

void WorkerLink::onReport(std::int64_t clockMicros, Time received)
{
    if (!wasReached_) {
        wasReached_ = true;
        // From here on the worker refuses earlier epochs, and what they gave
        // before reaches no further than one permit from now.
        permitUntil_ = std::min(permitUntil_, received + waitToCover(policy_.permitTime_));
    }
    // A worker that answers a mere question gets its permit without delay.
    if (!hasExtended_)
        nextRenewal_ = received;
    lastHeard_ = std::max(lastHeard_, received);
    clock_ = ClockSample { clockMicros, received };
}

std::optional<std::int64_t> WorkerLink::toWorkerClock(Time moment) const
{
    if (!clock_)
        return std::nullopt;
    return clock_->micros_ + shortestElsewhere(remaining(moment, clock_->received_)).count();
}

}
