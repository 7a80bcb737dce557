#include "scheduler/claimkeeper.h"

#include "scheduler/claimplanner.h"
#include "scheduler/gangmachine.h"
#include "scheduler/placementfinder.h"
#include "scheduler/schedulerlimits.h"

#include <algorithm>
#include <string>

namespace fescuecleat {

namespace {

    TaskKey claimKey(const JobId& job, std::size_t index)
    {
        // Attempts count from 1, so a claim's key is never a task's.
        return TaskKey { job, 0, static_cast<int>(index) };
    }

}

void ClaimKeeper::make(JobEntry& entry, ClaimKind kind, const Placement& placement, Time stopVictimsAt)
{
    const JobId id = entry.spec_.id_;
    drop(id);
    if (!placement.isBorrowed())
        dropBorrowedOn(placement);
    state_.queue_.remove(entry);
    entry.hasClaim_ = true;
    state_.queue_.add(entry);
    state_.claims_[id] = Claim { kind, placement, stopVictimsAt, Time::max() };
    for (std::size_t index = 0; index < placement.tasks_.size(); ++index) {
        const TaskPlace& place = placement.tasks_[index];
        state_.workers_.claim(place.worker_, claimKey(id, index), Holding { place.accelerators_, entry.shape_.processorMillis_, entry.shape_.memoryBytes_, place.home_ });
    }
    if (stopVictimsAt <= now_)
        stopVictims(id);
}

void ClaimKeeper::drop(const JobId& id)
{
    const auto claim = state_.claims_.find(id);
    if (claim == state_.claims_.end())
        return;
    const auto& places = claim->second.placement_.tasks_;
    for (std::size_t index = 0; index < places.size(); ++index)
        state_.workers_.releaseClaim(places[index].worker_, claimKey(id, index));
    state_.claims_.erase(claim);
    JobEntry* entry = state_.findJob(id);
    if (!entry)
        return;
    state_.touchGuarantee(entry->spec_.organisation_);
    const bool isQueued = entry->phase_ == JobPhase::Queued;
    if (isQueued)
        state_.queue_.remove(*entry);
    entry->hasClaim_ = false;
    if (isQueued)
        state_.queue_.add(*entry);
}

void ClaimKeeper::dropBorrowedOn(const Placement& placement)
{
    std::set<JobId> dropped;
    for (const TaskPlace& place : placement.tasks_) {
        for (const auto& [key, claim] : state_.workers_.at(place.worker_).claims()) {
            const bool overlaps = (claim.accelerators_ & place.accelerators_) != 0 || place.accelerators_ == 0;
            if (claim.home_ == noHome && overlaps)
                dropped.insert(key.job_);
        }
    }
    for (const JobId& id : dropped)
        drop(id);
}

void ClaimKeeper::dropOn(int worker)
{
    std::set<JobId> dropped;
    for (const auto& [key, claim] : state_.workers_.at(worker).claims())
        dropped.insert(key.job_);
    for (const JobId& id : dropped)
        drop(id);
}

void ClaimKeeper::dropAll()
{
    while (!state_.claims_.empty()) {
        const JobId id = state_.claims_.begin()->first;
        drop(id);
    }
}

bool ClaimKeeper::isReady(const JobEntry& entry) const
{
    const Claim& claim = state_.claims_.at(entry.spec_.id_);
    return fitsNow(claim.placement_, entry.shape_, state_.workers_);
}

Duration ClaimKeeper::timeToLeave(const JobEntry& entry) const
{
    const Duration usual = state_.configuration_.policy_.checkpointTime_;
    return entry.spec_.isUrgent_ ? std::min(usual, urgentCheckpointTime) : usual;
}

void ClaimKeeper::stopVictims(const JobId& id)
{
    Claim& claim = state_.claims_.at(id);
    const JobEntry& entry = state_.jobs_.at(id);
    const Time deadline = now_ + timeToLeave(entry);
    claim.stopVictimsAt_ = Time::max();
    if (claim.kind_ != ClaimKind::Aged)
        claim.expiresAt_ = deadline + claimGraceTime;
    const ClaimKind kind = claim.kind_;
    const std::string reason = std::string("makes way for job ") + id.value() + " (" + claimKindName(kind) + ")";
    const std::vector<JobId> victims = ClaimPlanner(state_, now_).victimsOf(entry, claim.placement_, kind);
    for (const JobId& victim : victims) {
        JobEntry* victimEntry = state_.findJob(victim);
        if (!victimEntry)
            continue;
        if (kind == ClaimKind::Defragment)
            state_.moves_.push_back(now_);
        GangMachine(state_, now_).preempt(*victimEntry, deadline, reason);
    }
}

void ClaimKeeper::handleDue()
{
    std::vector<JobId> due;
    std::vector<JobId> expired;
    for (const auto& [id, claim] : state_.claims_) {
        if (claim.stopVictimsAt_ <= now_)
            due.push_back(id);
        else if (claim.expiresAt_ <= now_)
            expired.push_back(id);
    }
    for (const JobId& id : due)
        stopVictims(id);
    for (const JobId& id : expired)
        drop(id);
}

}
