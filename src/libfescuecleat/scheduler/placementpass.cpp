#include "scheduler/placementpass.h"

#include "scheduler/gangstatemachine.h"
#include "scheduler/reservationmanager.h"
#include "scheduler/reservationplanner.h"
#include "scheduler/schedulerlimits.h"

namespace fescuecleat {

namespace {

    enum class Tier {
        Urgent,
        Aged,
        Normal,
    };

}

void PlacementPass::run()
{
    while (state_.mayStart(now_) && state_.gangsStarting_ < maxGangsStarting) {
        ClassQueueEntry* classQueue = nextClassQueue();
        if (!classQueue)
            return;
        JobEntry& entry = state_.jobs_.at(classQueue->second.jobs_.begin()->second);
        const JobClass jobClass = classQueue->first;
        if (tryPlace(entry, classQueue->second))
            continue;
        // A reservation moves the job to a queue of its own, so this queue may be gone.
        const auto blocked = state_.queue_.classQueues().find(jobClass);
        if (blocked != state_.queue_.classQueues().end())
            blocked->second.blockedAtVersion_ = state_.workers_.freedVersion(jobClass.shape_.accelerators_ > 0);
    }
}

PlacementPass::ClassQueueEntry* PlacementPass::nextClassQueue()
{
    ClassQueueEntry* best = nullptr;
    std::tuple<Tier, double, Time, JobId> bestKey;
    for (ClassQueueEntry& classQueue : state_.queue_.classQueues()) {
        const auto& [jobClass, waiting] = classQueue;
        if (waiting.blockedAtVersion_ == state_.workers_.freedVersion(jobClass.shape_.accelerators_ > 0))
            continue;
        const auto& [submitted, id] = *waiting.jobs_.begin();
        const bool isAged = now_ - submitted >= state_.configuration_.policy_.ageingThreshold_;
        const Tier tier = jobClass.isUrgent_ ? Tier::Urgent : isAged ? Tier::Aged
                                                                     : Tier::Normal;
        double share = 0;
        if (tier == Tier::Normal)
            share = static_cast<double>(state_.borrowedUnits_[jobClass.organisation_]) / state_.weightOf(jobClass.organisation_);
        std::tuple<Tier, double, Time, JobId> key { tier, share, submitted, id };
        if (best && !(key < bestKey))
            continue;
        best = &classQueue;
        bestKey = std::move(key);
    }
    return best;
}

bool PlacementPass::tryPlace(JobEntry& entry, JobClassQueue& classQueue)
{
    if (entry.orphans_ > 0)
        return false;
    if (entry.hasReservation_ && tryReservation(entry))
        return true;
    if (tryWithinGuarantee(entry, classQueue))
        return true;
    // A job that can't be resumed waits for its guarantee, because preemption of borrowed capacity would lose its work.
    const bool canResume = entry.spec_.canCheckpoint_ && entry.spec_.isIdempotent_;
    if (!canResume && !entry.hasReservation_)
        tryReclaim(entry);
    if (!canResume && entry.hasReservation_)
        return false;
    if (tryFreeCapacity(entry) || tryBackfill(entry))
        return true;
    if (!entry.hasReservation_)
        tryReclaim(entry);
    if (!entry.hasReservation_)
        tryUrgentReservation(entry);
    return false;
}

bool PlacementPass::tryReservation(JobEntry& entry)
{
    ReservationManager reservations(state_, now_);
    if (!reservations.isReady(entry))
        return false;
    const Placement placement = state_.reservations_.at(entry.spec_.id_).placement_;
    GangStateMachine(state_, now_).place(entry, placement);
    return true;
}

bool PlacementPass::tryWithinGuarantee(JobEntry& entry, JobClassQueue& classQueue)
{
    const std::uint64_t version = state_.guaranteeVersion(entry.spec_.organisation_);
    if (classQueue.guaranteeBlockedAtVersion_ == version)
        return false;
    if (!ReservationPlanner(state_, now_).planWithinGuarantee(entry)) {
        classQueue.guaranteeBlockedAtVersion_ = version;
        return false;
    }
    std::vector<Slot> slots;
    for (Slot& slot : state_.guarantees_.freeSlots(entry.spec_.organisation_, state_.workers_)) {
        if (entry.failedWorkers_.count(slot.worker_) == 0)
            slots.push_back(std::move(slot));
    }
    const auto placement = fillSlots(slots, freeQueryOf(entry).demand_);
    if (!placement || !fitsNow(*placement, entry.shape_, state_.workers_))
        return false;
    GangStateMachine(state_, now_).place(entry, *placement);
    return true;
}

bool PlacementPass::tryFreeCapacity(JobEntry& entry)
{
    const FreeQuery query = freeQueryOf(entry);
    const std::uint64_t version = state_.workers_.freedVersion(entry.shape_.accelerators_ > 0);
    const TaskShape& shape = query.demand_.shape_;
    const auto demand = std::make_tuple(shape.accelerators_, shape.processorMillis_, shape.memoryBytes_, query.demand_.tasks_, query.demand_.adjacency_, query.excludesGuaranteed_);
    const auto known = failedDemands_.find(demand);
    if (known != failedDemands_.end() && known->second == version)
        return false;
    const auto placement = finder_.findFree(query, state_.workers_);
    if (!placement) {
        if (query.excludedWorkers_.empty())
            failedDemands_[demand] = version;
        return false;
    }
    GangStateMachine(state_, now_).place(entry, *placement);
    return true;
}

bool PlacementPass::tryBackfill(JobEntry& entry)
{
    if (!entry.spec_.isIdempotent_ || !entry.spec_.canCheckpoint_)
        return false;
    for (const auto& [id, reservation] : state_.reservations_) {
        const bool endsBefore = reservation.kind_ == ReservationKind::Aged && reservation.stopVictimsAt_ != Time::max() && id != entry.spec_.id_
            && now_ + state_.estimator_.remainingRun(entry, now_) <= reservation.stopVictimsAt_;
        if (!endsBefore)
            continue;
        std::map<int, Slot> slots;
        for (const TaskPlace& place : reservation.placement_.tasks_) {
            const WorkerState& worker = state_.workers_.at(place.worker_);
            if (entry.failedWorkers_.count(place.worker_) > 0)
                continue;
            Slot& slot = slots.try_emplace(place.worker_, freeSlot(worker, entry.shape_, false)).first->second;
            slot.usable_ |= place.accelerators_ & worker.freeAccelerators();
            slot.processorMillis_ = worker.freeProcessorMillis();
            slot.memoryBytes_ = worker.freeMemoryBytes();
        }
        std::vector<Slot> candidates;
        candidates.reserve(slots.size());
        for (auto& [worker, slot] : slots)
            candidates.push_back(std::move(slot));
        const auto placement = fillSlots(candidates, freeQueryOf(entry).demand_);
        if (!placement)
            continue;
        GangStateMachine(state_, now_).place(entry, *placement);
        return true;
    }
    return false;
}

void PlacementPass::tryReclaim(JobEntry& entry)
{
    // If the queue is blocked on the guarantee, planWithinGuarantee() has already failed for this version.
    const auto classQueue = state_.queue_.classQueues().find(classOf(entry));
    if (classQueue != state_.queue_.classQueues().end() && classQueue->second.guaranteeBlockedAtVersion_ == state_.guaranteeVersion(entry.spec_.organisation_))
        return;
    const auto placement = ReservationPlanner(state_, now_).planWithinGuarantee(entry);
    if (!placement)
        return;
    ReservationManager(state_, now_).create(entry, ReservationKind::Reclaim, *placement, now_);
}

void PlacementPass::tryUrgentReservation(JobEntry& entry)
{
    if (!entry.spec_.isUrgent_ || entry.hasReservation_)
        return;
    double total = 0;
    for (int index = 0; index < state_.workers_.size(); ++index) {
        if (state_.workers_.at(index).isPresent())
            total += static_cast<double>(capacityUnitsOf(state_.workers_.at(index).capacity()));
    }
    double weights = 0;
    for (const OrganisationConfiguration& organisation : state_.configuration_.organisations_)
        weights += organisation.weight_;
    const double weight = state_.weightOf(entry.spec_.organisation_);
    const double fairShare = total * weight / std::max(weights, weight);
    const auto requestedUnits = capacityUnitsOf(entry.shape_) * entry.spec_.tasks_;
    // Urgent jobs beyond the fair share of their organisation preempt nothing.
    if (static_cast<double>(state_.borrowedUnits_[entry.spec_.organisation_] + requestedUnits) > fairShare)
        return;
    const auto placement = ReservationPlanner(state_, now_).planAnywhere(entry, ReservationKind::Urgent);
    if (!placement)
        return;
    ReservationManager(state_, now_).create(entry, ReservationKind::Urgent, *placement, now_);
}

}
