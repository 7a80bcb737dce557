#include "scheduler/reservationplanner.h"

#include "scheduler/capacityunits.h"
#include "scheduler/placementfinder.h"

#include <map>
#include <set>

namespace fescuecleat {

namespace {

    /** Preemption cost of a job that can't be resumed, relative to one that can. */
    constexpr std::int64_t nonResumableCostFactor = 16;
    /** Cost of waiting for a job that must not be preempted; higher than any preemption. */
    constexpr std::int64_t waitingCost = std::int64_t { 1 } << 40;
    /** A job moved for defragmentation is smaller than the job that benefits by at least this factor. */
    constexpr std::int64_t minMoveGainFactor = 2;

    bool canResume(const JobEntry& entry)
    {
        return entry.spec_.canCheckpoint_ && entry.spec_.isIdempotent_;
    }

    std::int64_t gangCapacityUnits(const JobEntry& entry)
    {
        return capacityUnitsOf(entry.shape_) * entry.spec_.tasks_;
    }

}

bool ReservationPlanner::mayStop(const JobEntry& beneficiary, const JobEntry& victim, ReservationKind kind) const
{
    if (!victim.isBorrower_)
        return false;
    switch (kind) {
    case ReservationKind::Reclaim:
    case ReservationKind::Aged:
        return true;
    case ReservationKind::Urgent:
        return !victim.spec_.isUrgent_;
    case ReservationKind::Defragment:
        return victim.phase_ == JobPhase::Running && canResume(victim) && !victim.spec_.isUrgent_
            && gangCapacityUnits(victim) * minMoveGainFactor <= gangCapacityUnits(beneficiary);
    }
    return false;
}

std::int64_t ReservationPlanner::costOf(const JobEntry& victim) const
{
    if (victim.phase_ == JobPhase::Stopping)
        return 1;
    return 1 + gangCapacityUnits(victim) * (canResume(victim) ? 1 : nonResumableCostFactor);
}

void ReservationPlanner::addVictims(Slot& slot, const JobEntry& beneficiary, const WorkerState& worker, ReservationKind kind) const
{
    for (const auto& [key, allocation] : worker.allocations()) {
        const JobEntry* victim = state_.findJob(key.job_);
        const bool isOrphan = !victim || state_.orphans_.count(key) > 0;
        const bool canStop = !isOrphan && mayStop(beneficiary, *victim, kind);
        const bool canWait = !isOrphan && kind == ReservationKind::Aged;
        const AcceleratorMask part = allocation.accelerators_ & slot.usable_;
        if (!canStop && !canWait) {
            slot.usable_ &= ~allocation.accelerators_;
            continue;
        }
        if (part != 0)
            slot.victims_.push_back(VictimPart { part, canStop ? costOf(*victim) : waitingCost });
    }
}

std::optional<Placement> ReservationPlanner::planWithinGuarantee(const JobEntry& entry) const
{
    std::vector<Slot> slots = state_.guarantees_.reclaimableSlots(entry.spec_.organisation_, state_.workers_);
    std::vector<Slot> allowed;
    for (Slot& slot : slots) {
        if (entry.failedWorkers_.count(slot.worker_) > 0)
            continue;
        addVictims(slot, entry, state_.workers_.at(slot.worker_), ReservationKind::Reclaim);
        allowed.push_back(std::move(slot));
    }
    return fillSlots(allowed, freeQueryOf(entry).demand_);
}

Slot ReservationPlanner::slotOf(const JobEntry& entry, const WorkerState& worker, ReservationKind kind) const
{
    // Count processors and memory of all possible victims as free.
    Slot slot = freeSlot(worker, entry.shape_, false);
    if (slot.maxTasks_ == 0)
        return slot;
    AcceleratorMask reserved = 0;
    for (const auto& [key, reservation] : worker.reservations())
        reserved |= reservation.accelerators_;
    slot.usable_ = firstAccelerators(slot.capacity_) & ~reserved;
    if (!entry.spec_.isIdempotent_)
        slot.usable_ &= ~worker.guaranteed();
    addVictims(slot, entry, worker, kind);
    for (const auto& [key, allocation] : worker.allocations()) {
        const JobEntry* victim = state_.findJob(key.job_);
        if (!victim || !(mayStop(entry, *victim, kind) || kind == ReservationKind::Aged))
            continue;
        slot.processorMillis_ += allocation.processorMillis_;
        slot.memoryBytes_ += allocation.memoryBytes_;
    }
    return slot;
}

std::optional<Placement> ReservationPlanner::planAnywhere(const JobEntry& entry, ReservationKind kind) const
{
    std::vector<Slot> slots;
    for (int index = 0; index < state_.workers_.size(); ++index) {
        if (entry.failedWorkers_.count(index) == 0)
            slots.push_back(slotOf(entry, state_.workers_.at(index), kind));
    }
    return fillSlots(slots, freeQueryOf(entry).demand_);
}

std::vector<JobId> ReservationPlanner::victimsOf(const JobEntry& entry, const Placement& placement, ReservationKind kind) const
{
    std::map<int, Allocation> needs;
    for (const TaskPlace& place : placement.tasks_) {
        Allocation& need = needs[place.worker_];
        need.accelerators_ |= place.accelerators_;
        need.processorMillis_ += entry.shape_.processorMillis_;
        need.memoryBytes_ += entry.shape_.memoryBytes_;
    }
    std::set<JobId> victims;
    for (const auto& [index, need] : needs) {
        const WorkerState& worker = state_.workers_.at(index);
        std::int64_t processors = worker.freeProcessorMillis();
        std::int64_t memory = worker.freeMemoryBytes();
        // First the jobs on the accelerators, then others until enough processors and memory are free.
        for (const bool isOnAccelerators : { true, false }) {
            for (const auto& [key, allocation] : worker.allocations()) {
                const JobEntry* victim = state_.findJob(key.job_);
                if (!victim || !mayStop(entry, *victim, kind) || ((allocation.accelerators_ & need.accelerators_) != 0) != isOnAccelerators)
                    continue;
                const bool isEnough = processors >= need.processorMillis_ && memory >= need.memoryBytes_;
                if (!isOnAccelerators && isEnough)
                    break;
                victims.insert(key.job_);
                processors += allocation.processorMillis_;
                memory += allocation.memoryBytes_;
            }
        }
    }
    return { victims.begin(), victims.end() };
}

}
