#include "control/runpermits.h"

#include "control/clockdrift.h"

#include <algorithm>

namespace fescuecleat {

Duration RunPermits::maxExpiryDelay() const
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
    otherRenewalsExpireAt_ = now + timing_.renewalAcceptanceWindow_ + maxExpiryDelay();
}

void RunPermits::renewalSent(const WorkerId& worker, Time renewBefore)
{
    Time& expiresAt = workers_[worker].expiresAt_;
    expiresAt = std::max(expiresAt, renewBefore + maxExpiryDelay());
}

void RunPermits::workerAnswered(const WorkerId& worker, Time receivedAt)
{
    PermitState& state = workers_[worker];
    // Permits that older epochs renewed before this answer may still be valid.
    if (!state.hasAnswered_)
        state.expiresAt_ = std::max(state.expiresAt_, receivedAt + maxExpiryDelay());
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
        // The instance is gone; permits that it may have renewed still have to expire.
        if (mayRenewAt(at->second, now))
            otherRenewalsExpireAt_ = std::max(otherRenewalsExpireAt_, now + timing_.renewalAcceptanceWindow_ + maxExpiryDelay());
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
        otherRenewalsExpireAt_ = std::max(otherRenewalsExpireAt_, receivedAt + timing_.renewalAcceptanceWindow_ + maxExpiryDelay());
    at->second = std::max(at->second, sentAt);
}

bool RunPermits::hasExpiredAt(const WorkerId& worker, Time now) const
{
    if (now < otherRenewalsExpireAt_ || !silentInstancesAt(now).empty())
        return false;
    const auto at = workers_.find(worker);
    return at == workers_.end() || now >= at->second.expiresAt_;
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
