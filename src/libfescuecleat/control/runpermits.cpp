#include "control/runpermits.h"

#include "control/clockdrift.h"

#include <algorithm>

namespace fescuecleat {

Duration RunPermits::maxLapseDelay() const
{
    return localWaitCovering(timing_.runPermitDuration_);
}

bool RunPermits::mayRenewAt(Time lastMessageSentAt, Time now) const
{
    return now >= lastMessageSentAt + minRemoteElapsed(timing_.fallbackRenewalDelay_);
}

void RunPermits::beginEpoch(Time now)
{
    epochBeganAt_ = now;
    workers_.clear();
    for (auto& [instance, lastMessageSentAt] : lastMessageSentAt_)
        lastMessageSentAt = now - timing_.fallbackRenewalDelay_;
    otherRenewalsLapseAt_ = now + timing_.renewalAcceptanceWindow_ + maxLapseDelay();
}

void RunPermits::renewalSent(const WorkerId& worker, Time renewBefore)
{
    Time& lapsesAt = workers_[worker].lapsesAt_;
    lapsesAt = std::max(lapsesAt, renewBefore + maxLapseDelay());
}

void RunPermits::workerAnswered(const WorkerId& worker, Time receivedAt)
{
    PermitState& state = workers_[worker];
    // Permits that older epochs renewed before this answer may still be valid.
    if (!state.hasAnswered_)
        state.lapsesAt_ = std::max(state.lapsesAt_, receivedAt + maxLapseDelay());
    state.hasAnswered_ = true;
}

void RunPermits::instancesListed(const std::vector<InstanceId>& instances, Time now)
{
    const std::set<InstanceId> listed(instances.begin(), instances.end());
    for (auto at = lastMessageSentAt_.begin(); at != lastMessageSentAt_.end();) {
        if (listed.count(at->first)) {
            ++at;
            continue;
        }
        // The instance is gone; permits that it may have renewed still have to lapse.
        if (mayRenewAt(at->second, now))
            otherRenewalsLapseAt_ = std::max(otherRenewalsLapseAt_, now + timing_.renewalAcceptanceWindow_ + maxLapseDelay());
        at = lastMessageSentAt_.erase(at);
    }
    for (const InstanceId& instance : listed)
        lastMessageSentAt_.emplace(instance, now - timing_.fallbackRenewalDelay_);
}

void RunPermits::instanceAnswered(const InstanceId& instance, Time sentAt, Time receivedAt)
{
    const auto at = lastMessageSentAt_.emplace(instance, receivedAt - timing_.fallbackRenewalDelay_).first;
    // It may have renewed permits itself until the message arrived.
    if (mayRenewAt(at->second, receivedAt))
        otherRenewalsLapseAt_ = std::max(otherRenewalsLapseAt_, receivedAt + timing_.renewalAcceptanceWindow_ + maxLapseDelay());
    at->second = std::max(at->second, sentAt);
}

bool RunPermits::hasLapsedAt(const WorkerId& worker, Time now) const
{
    if (now < otherRenewalsLapseAt_ || !silentInstancesAt(now).empty())
        return false;
    const auto at = workers_.find(worker);
    return at == workers_.end() || now >= at->second.lapsesAt_;
}

std::vector<InstanceId> RunPermits::silentInstancesAt(Time now) const
{
    std::vector<InstanceId> silent;
    for (const auto& [instance, lastMessageSentAt] : lastMessageSentAt_) {
        if (mayRenewAt(lastMessageSentAt, now))
            silent.push_back(instance);
    }
    return silent;
}

}
