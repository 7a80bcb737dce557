#include "worker/workerlink.h"

#include "control/clockdrift.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Timeout of a renewal. */
    constexpr Duration renewalTimeout = std::chrono::seconds(1);

}

WorkerLink::WorkerLink(const RunPermitPolicy& policy, Time earlierPermitsUntil, Time now)
    : policy_(policy)
    , permitUntil_(earlierPermitsUntil)
    , nextRenewal_(now)
    , lastHeard_(now)
{
}

bool WorkerLink::isReachable(Time now) const
{
    return hasAnswered_ && now < lastHeard_ + policy_.suspectTimeout_;
}

bool WorkerLink::isLost(Time now) const
{
    return !isReachable(now) && now > permitUntil_;
}

RenewalPlan WorkerLink::plan(Time now)
{
    nextRenewal_ = now + policy_.renewalInterval_;
    hasExtendedPermit_ = false;
    RenewalPlan plan;
    plan.deadline_ = now + renewalTimeout;
    if (!clockSample_ || !isReachable(now))
        return plan;
    const Time until = now + policy_.permitDuration_;
    plan.untilMicros_ = *toWorkerClock(until);
    permitUntil_ = std::max(permitUntil_, until);
    hasExtendedPermit_ = true;
    return plan;
}

void WorkerLink::onReport(std::int64_t clockMicros, Time received)
{
    if (!hasAnswered_) {
        hasAnswered_ = true;
        // The worker refuses earlier epochs from now on, and permits that they
        // granted before end at most one permit duration from now.
        permitUntil_ = std::min(permitUntil_, received + localWaitCovering(policy_.permitDuration_));
    }
    // The worker is reachable but its permit was not extended: renew at once.
    if (!hasExtendedPermit_)
        nextRenewal_ = received;
    lastHeard_ = std::max(lastHeard_, received);
    clockSample_ = ClockSample { clockMicros, received };
}

std::optional<std::int64_t> WorkerLink::toWorkerClock(Time moment) const
{
    if (!clockSample_)
        return std::nullopt;
    return clockSample_->micros_ + minRemoteElapsed(remaining(moment, clockSample_->received_)).count();
}

}
