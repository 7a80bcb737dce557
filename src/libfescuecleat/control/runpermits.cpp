#include "control/runpermits.h"

#include "control/clockdrift.h"

#include <algorithm>

namespace fescuecleat {

Duration RunPermits::lapseTime() const
{
    return waitToCover(timing_.runPermit_);
}

bool RunPermits::mayRenewAt(Time heardAt, Time now) const
{
    return now >= heardAt + shortestElsewhere(timing_.renewalSilence_);
}

void RunPermits::epochBegan(Time now)
{
    epochBegan_ = now;
    workers_.clear();
    for (auto& [instance, heardAt] : heard_)
        heardAt = now - timing_.renewalSilence_;
    othersLapseAt_ = now + timing_.renewalWindow_ + lapseTime();
}

void RunPermits::renewalSent(const WorkerId& worker, Time renewBefore)
{
    Time& lapsesAt = workers_[worker].lapsesAt_;
    lapsesAt = std::max(lapsesAt, renewBefore + lapseTime());
}

void RunPermits::workerAnswered(const WorkerId& worker, Time receivedAt)
{
    PermitState& state = workers_[worker];
    // What an older epoch renewed before this answer may still run.
    if (!state.hasAnswered_)
        state.lapsesAt_ = std::max(state.lapsesAt_, receivedAt + lapseTime());
    state.hasAnswered_ = true;
}

void RunPermits::instancesListed(const std::vector<InstanceId>& instances, Time now)
{
    const std::set<InstanceId> listed(instances.begin(), instances.end());
    for (auto at = heard_.begin(); at != heard_.end();) {
        if (listed.count(at->first)) {
            ++at;
            continue;
        }
        // It is gone; what it renewed before lapses like any renewal.
        if (mayRenewAt(at->second, now))
            othersLapseAt_ = std::max(othersLapseAt_, now + timing_.renewalWindow_ + lapseTime());
        at = heard_.erase(at);
    }
    for (const InstanceId& instance : listed)
        heard_.emplace(instance, now - timing_.renewalSilence_);
}

void RunPermits::instanceAnswered(const InstanceId& instance, Time sentAt, Time receivedAt)
{
    const auto at = heard_.emplace(instance, receivedAt - timing_.renewalSilence_).first;
    // It may have renewed by itself until it heard the message.
    if (mayRenewAt(at->second, receivedAt))
        othersLapseAt_ = std::max(othersLapseAt_, receivedAt + timing_.renewalWindow_ + lapseTime());
    at->second = std::max(at->second, sentAt);
}

bool RunPermits::hasCertainlyLapsedAt(const WorkerId& worker, Time now) const
{
    if (now < othersLapseAt_ || !silentInstancesAt(now).empty())
        return false;
    const auto at = workers_.find(worker);
    return at == workers_.end() || now >= at->second.lapsesAt_;
}

std::vector<InstanceId> RunPermits::silentInstancesAt(Time now) const
{
    std::vector<InstanceId> silent;
    for (const auto& [instance, heardAt] : heard_) {
        if (mayRenewAt(heardAt, now))
            silent.push_back(instance);
    }
    return silent;
}

}
