#include "scheduler/waitingpolicy.h"

#include "scheduler/gangstatemachine.h"
#include "scheduler/placementfinder.h"
#include "scheduler/reservationmanager.h"
#include "scheduler/reservationplanner.h"
#include "scheduler/schedulerlimits.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Gangs with at least this many accelerators, a whole typical worker, count as large. */
    constexpr int minLargeGangAccelerators = 8;

    bool isLarge(const JobEntry& entry)
    {
        return entry.spec_.tasks_ * entry.shape_.accelerators_ >= minLargeGangAccelerators;
    }

}

void WaitingPolicy::runIfDue()
{
    if (state_.queue_.isEmpty()) {
        state_.nextPolicyAt_ = Time::max();
        return;
    }
    // A data centre that is out of service offers its queued jobs to others without delay.
    const Duration interval = state_.drainDeadline_ ? drainInterval : waitingPolicyInterval;
    if (state_.nextPolicyAt_ > now_ + interval)
        state_.nextPolicyAt_ = now_ + interval;
    if (state_.nextPolicyAt_ > now_)
        return;
    state_.nextPolicyAt_ = now_ + interval;
    run();
}

void WaitingPolicy::run()
{
    offerOrFail();
    if (!state_.mayStart(now_))
        return;
    reserveForOldest();
    defragment();
}

Duration WaitingPolicy::earlyAge() const
{
    return state_.configuration_.policy_.ageingThreshold_ / earlyAgeDivisor;
}

std::vector<JobId> WaitingPolicy::headsByAge() const
{
    std::set<std::pair<Time, JobId>> heads;
    for (const auto& [jobClass, classQueue] : state_.queue_.classQueues())
        heads.insert(*classQueue.jobs_.begin());
    std::vector<JobId> ids;
    ids.reserve(heads.size());
    for (const auto& [submitted, id] : heads)
        ids.push_back(id);
    return ids;
}

void WaitingPolicy::reserveForOldest()
{
    const bool isReserved = std::any_of(state_.reservations_.begin(), state_.reservations_.end(), [](const auto& reservation) { return reservation.second.kind_ == ReservationKind::Aged; });
    if (isReserved)
        return;
    const Duration ageing = state_.configuration_.policy_.ageingThreshold_;
    for (const JobId& id : headsByAge()) {
        JobEntry& entry = state_.jobs_.at(id);
        if (now_ - entry.submitted_ < ageing)
            return;
        if (entry.hasReservation_ || entry.orphans_ > 0)
            continue;
        const auto placement = ReservationPlanner(state_, now_).planAnywhere(entry, ReservationKind::Aged);
        if (!placement)
            continue;
        ReservationManager(state_, now_).create(entry, ReservationKind::Aged, *placement, now_ + ageing);
        return;
    }
}

void WaitingPolicy::defragment()
{
    while (!state_.defragmentationMoves_.empty() && state_.defragmentationMoves_.front() + defragmentationWindow <= now_)
        state_.defragmentationMoves_.pop_front();
    for (const JobId& id : headsByAge()) {
        JobEntry& entry = state_.jobs_.at(id);
        if (now_ - entry.submitted_ < earlyAge())
            return;
        if (isLarge(entry) && !entry.hasReservation_ && entry.orphans_ == 0 && tryDefragment(entry))
            return;
    }
}

bool WaitingPolicy::tryDefragment(JobEntry& entry)
{
    const int budget = state_.configuration_.policy_.movesPerHour_ - static_cast<int>(state_.defragmentationMoves_.size());
    if (budget <= 0)
        return false;
    int available = 0;
    for (int index = 0; index < state_.workers_.size(); ++index)
        available += state_.workers_.at(index).isUsable() ? countAccelerators(state_.workers_.at(index).availableAccelerators()) : 0;
    // Moved jobs need capacity elsewhere, so moves only help if fragmentation alone keeps the gang from fitting.
    if (available < entry.spec_.tasks_ * entry.shape_.accelerators_)
        return false;
    const ReservationPlanner planner(state_, now_);
    const auto placement = planner.planAnywhere(entry, ReservationKind::Defragment);
    if (!placement || static_cast<int>(planner.victimsOf(entry, *placement, ReservationKind::Defragment).size()) > budget)
        return false;
    ReservationManager(state_, now_).create(entry, ReservationKind::Defragment, *placement, now_);
    return true;
}

void WaitingPolicy::offerOrFail()
{
    int offers = 0;
    const bool workersMayStillJoin = now_ < *state_.firstEventAt_ + workerJoinGracePeriod;
    std::vector<JobId> waiting;
    for (const auto& [jobClass, classQueue] : state_.queue_.classQueues()) {
        for (const auto& [submitted, id] : classQueue.jobs_)
            waiting.push_back(id);
    }
    for (const JobId& id : waiting) {
        JobEntry& entry = state_.jobs_.at(id);
        if (entry.orphans_ > 0 || now_ < entry.nextOfferAt_ || offers >= maxOffersPerInterval)
            continue;
        const bool isUnfit = !state_.drainDeadline_ && !workersMayStillJoin && !fitsEmptyDataCentre(entry);
        const bool waitsLong = now_ - entry.queuedAt_ >= earlyAge() && !entry.hasReservation_;
        if (!isUnfit && !waitsLong && !state_.drainDeadline_)
            continue;
        ++offers;
        entry.nextOfferAt_ = now_ + earlyAge();
        if (isUnfit)
            handleUnfit(entry);
        else
            state_.actions_.emplace_back(OfferJob { id });
    }
}

void WaitingPolicy::handleUnfit(JobEntry& entry)
{
    const JobId id = entry.spec_.id_;
    const int offered = entry.offers_++;
    if (offered < state_.configuration_.policy_.maxAttempts_) {
        state_.actions_.emplace_back(OfferJob { id });
        return;
    }
    ReservationManager(state_, now_).release(id);
    state_.queue_.remove(entry);
    const bool failedEverywhere = !entry.failedWorkers_.empty() && fitsWorkersIfEmpty(entry, false);
    GangStateMachine(state_, now_).finish(entry, JobState::Failed, failedEverywhere ? "it failed on every worker here that could run it" : "it asks for more than this data centre has and no other took it; ask for a smaller gang or looser adjacency");
}

bool WaitingPolicy::fitsEmptyDataCentre(JobEntry& entry) const
{
    const std::uint64_t version = state_.workers_.topologyVersion();
    if (entry.fitsAtVersion_ == version)
        return true;
    if (!fitsWorkersIfEmpty(entry, true))
        return false;
    entry.fitsAtVersion_ = version;
    return true;
}

bool WaitingPolicy::fitsWorkersIfEmpty(const JobEntry& entry, bool excludesFailed) const
{
    std::vector<Slot> slots;
    for (int index = 0; index < state_.workers_.size(); ++index) {
        const WorkerState& worker = state_.workers_.at(index);
        if (!worker.isPresent() || (excludesFailed && entry.failedWorkers_.count(index) > 0))
            continue;
        Slot slot;
        slot.worker_ = index;
        slot.rack_ = worker.rackIndex();
        slot.capacity_ = worker.capacity().accelerators_;
        slot.usable_ = firstAccelerators(slot.capacity_);
        slot.processorMillis_ = worker.capacity().processorMillis_;
        slot.memoryBytes_ = worker.capacity().memoryBytes_;
        slots.push_back(slot);
    }
    return fillSlots(slots, freeQueryOf(entry).demand_).has_value();
}

}
