#include "scheduler/waitingpolicy.h"

#include "scheduler/gangmachine.h"
#include "scheduler/placementfinder.h"
#include "scheduler/reservationkeeper.h"
#include "scheduler/reservationplanner.h"
#include "scheduler/schedulerlimits.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Accelerators from which a gang counts as large: a whole worker of today's sizes. */
    constexpr int largeGang = 8;

    bool isLarge(const JobEntry& entry)
    {
        return entry.spec_.tasks_ * entry.shape_.accelerators_ >= largeGang;
    }

}

void WaitingPolicy::runIfDue()
{
    if (state_.queue_.isEmpty()) {
        state_.nextPolicyAt_ = Time::max();
        return;
    }
    // While the data centre is taken out, what waits here is offered elsewhere soon.
    const Duration interval = state_.takenOutUntil_ ? drainInterval : policyInterval;
    if (state_.nextPolicyAt_ > now_ + interval)
        state_.nextPolicyAt_ = now_ + interval;
    if (state_.nextPolicyAt_ > now_)
        return;
    state_.nextPolicyAt_ = now_ + interval;
    run();
}

void WaitingPolicy::run()
{
    offerAndRefuse();
    if (!state_.mayStart(now_))
        return;
    reserveForOldest();
    defragment();
}

Duration WaitingPolicy::earlyAge() const
{
    return state_.configuration_.policy_.ageingTime_ / earlyAgeDivisor;
}

std::vector<JobId> WaitingPolicy::headsByAge() const
{
    std::set<std::pair<Time, JobId>> heads;
    for (const auto& [jobClass, line] : state_.queue_.lines())
        heads.insert(*line.jobs_.begin());
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
    const Duration ageing = state_.configuration_.policy_.ageingTime_;
    for (const JobId& id : headsByAge()) {
        JobEntry& entry = state_.jobs_.at(id);
        if (now_ - entry.submitted_ < ageing)
            return;
        if (entry.hasReservation_ || entry.strays_ > 0)
            continue;
        const auto placement = ReservationPlanner(state_, now_).planAnywhere(entry, ReservationKind::Aged);
        if (!placement)
            continue;
        ReservationKeeper(state_, now_).make(entry, ReservationKind::Aged, *placement, now_ + ageing);
        return;
    }
}

void WaitingPolicy::defragment()
{
    while (!state_.moves_.empty() && state_.moves_.front() + moveWindow <= now_)
        state_.moves_.pop_front();
    for (const JobId& id : headsByAge()) {
        JobEntry& entry = state_.jobs_.at(id);
        if (now_ - entry.submitted_ < earlyAge())
            return;
        if (isLarge(entry) && !entry.hasReservation_ && entry.strays_ == 0 && tryDefragment(entry))
            return;
    }
}

bool WaitingPolicy::tryDefragment(JobEntry& entry)
{
    const int budget = state_.configuration_.policy_.movesPerHour_ - static_cast<int>(state_.moves_.size());
    if (budget <= 0)
        return false;
    int available = 0;
    for (int index = 0; index < state_.workers_.size(); ++index)
        available += state_.workers_.at(index).isUsable() ? countAccelerators(state_.workers_.at(index).availableAccelerators()) : 0;
    // What moves needs room elsewhere, so nothing is gained unless the gang would fit but for the pieces.
    if (available < entry.spec_.tasks_ * entry.shape_.accelerators_)
        return false;
    const ReservationPlanner planner(state_, now_);
    const auto placement = planner.planAnywhere(entry, ReservationKind::Defragment);
    if (!placement || static_cast<int>(planner.victimsOf(entry, *placement, ReservationKind::Defragment).size()) > budget)
        return false;
    ReservationKeeper(state_, now_).make(entry, ReservationKind::Defragment, *placement, now_);
    return true;
}

void WaitingPolicy::offerAndRefuse()
{
    int offers = 0;
    const bool mayJoinStill = now_ < *state_.firstEventAt_ + settlingTime;
    std::vector<JobId> waiting;
    for (const auto& [jobClass, line] : state_.queue_.lines()) {
        for (const auto& [submitted, id] : line.jobs_)
            waiting.push_back(id);
    }
    for (const JobId& id : waiting) {
        JobEntry& entry = state_.jobs_.at(id);
        if (entry.strays_ > 0 || now_ < entry.nextOfferAt_ || offers >= offersPerInterval)
            continue;
        const bool isUnfit = !state_.takenOutUntil_ && !mayJoinStill && !isKnownToFit(entry);
        const bool waitsLong = now_ - entry.queuedAt_ >= earlyAge() && !entry.hasReservation_;
        if (!isUnfit && !waitsLong && !state_.takenOutUntil_)
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
    ReservationKeeper(state_, now_).drop(id);
    state_.queue_.remove(entry);
    const bool failedEverywhere = !entry.failedOn_.empty() && fitsEmpty(entry, false);
    GangMachine(state_, now_).finish(entry, JobState::Failed, failedEverywhere ? "it failed on every worker here that could run it" : "it asks for more than this data centre has and no other took it; ask for a smaller gang or looser adjacency");
}

bool WaitingPolicy::isKnownToFit(JobEntry& entry) const
{
    const std::uint64_t version = state_.workers_.topologyVersion();
    if (entry.fittedAt_ == version)
        return true;
    if (!fitsEmpty(entry, true))
        return false;
    entry.fittedAt_ = version;
    return true;
}

bool WaitingPolicy::fitsEmpty(const JobEntry& entry, bool avoidsFailed) const
{
    std::vector<Slot> slots;
    for (int index = 0; index < state_.workers_.size(); ++index) {
        const WorkerState& worker = state_.workers_.at(index);
        if (!worker.isPresent() || (avoidsFailed && entry.failedOn_.count(index) > 0))
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
