#include "scheduler/reservationplanner.h"

#include "scheduler/capacityunits.h"
#include "scheduler/placementfinder.h"

#include <map>
#include <set>

namespace fescuecleat {

namespace {

    /** Cost of work that can't be resumed, as a multiple of work that can. */
    constexpr std::int64_t lostWorkFactor = 16;
    /** Cost of waiting for work within a guarantee, which is never stopped. */
    constexpr std::int64_t waitCost = std::int64_t { 1 } << 40;
    /** Work that is moved for defragmentation is at most this part of what gains by it. */
    constexpr std::int64_t moveGain = 2;

    bool canResume(const JobEntry& entry)
    {
        return entry.spec_.canCheckpoint_ && entry.spec_.isIdempotent_;
    }

    std::int64_t unitsOfGang(const JobEntry& entry)
    {
        return unitsOf(entry.shape_) * entry.spec_.tasks_;
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
            && unitsOfGang(victim) * moveGain <= unitsOfGang(beneficiary);
    }
    return false;
}

std::int64_t ReservationPlanner::costOf(const JobEntry& victim) const
{
    if (victim.phase_ == JobPhase::Stopping)
        return 1;
    return 1 + unitsOfGang(victim) * (canResume(victim) ? 1 : lostWorkFactor);
}

void ReservationPlanner::addVictims(Slot& slot, const JobEntry& beneficiary, const WorkerState& worker, ReservationKind kind) const
{
    for (const auto& [key, holding] : worker.holdings()) {
        const JobEntry* victim = state_.findJob(key.job_);
        const bool isStray = !victim || state_.strays_.count(key) > 0;
        const bool canStop = !isStray && mayStop(beneficiary, *victim, kind);
        const bool canWait = !isStray && kind == ReservationKind::Aged;
        const AcceleratorMask part = holding.accelerators_ & slot.usable_;
        if (!canStop && !canWait) {
            slot.usable_ &= ~holding.accelerators_;
            continue;
        }
        if (part != 0)
            slot.victims_.push_back(VictimPart { part, canStop ? costOf(*victim) : waitCost });
    }
}

std::optional<Placement> ReservationPlanner::planInHomes(const JobEntry& entry) const
{
    std::vector<Slot> slots = state_.ledger_.reclaimableSlots(entry.spec_.organisation_, state_.workers_);
    std::vector<Slot> allowed;
    for (Slot& slot : slots) {
        if (entry.failedOn_.count(slot.worker_) > 0)
            continue;
        addVictims(slot, entry, state_.workers_.at(slot.worker_), ReservationKind::Reclaim);
        allowed.push_back(std::move(slot));
    }
    return fillSlots(allowed, freeQueryOf(entry).demand_);
}

Slot ReservationPlanner::slotOf(const JobEntry& entry, const WorkerState& worker, ReservationKind kind) const
{
    // CPU and memory as if everything that may be stopped were gone.
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
    for (const auto& [key, holding] : worker.holdings()) {
        const JobEntry* victim = state_.findJob(key.job_);
        if (!victim || !(mayStop(entry, *victim, kind) || kind == ReservationKind::Aged))
            continue;
        slot.processorMillis_ += holding.processorMillis_;
        slot.memoryBytes_ += holding.memoryBytes_;
    }
    return slot;
}

std::optional<Placement> ReservationPlanner::planAnywhere(const JobEntry& entry, ReservationKind kind) const
{
    std::vector<Slot> slots;
    for (int index = 0; index < state_.workers_.size(); ++index) {
        if (entry.failedOn_.count(index) == 0)
            slots.push_back(slotOf(entry, state_.workers_.at(index), kind));
    }
    return fillSlots(slots, freeQueryOf(entry).demand_);
}

std::vector<JobId> ReservationPlanner::victimsOf(const JobEntry& entry, const Placement& placement, ReservationKind kind) const
{
    std::map<int, Holding> needs;
    for (const TaskPlace& place : placement.tasks_) {
        Holding& need = needs[place.worker_];
        need.accelerators_ |= place.accelerators_;
        need.processorMillis_ += entry.shape_.processorMillis_;
        need.memoryBytes_ += entry.shape_.memoryBytes_;
    }
    std::set<JobId> victims;
    for (const auto& [index, need] : needs) {
        const WorkerState& worker = state_.workers_.at(index);
        std::int64_t processors = worker.freeProcessorMillis();
        std::int64_t memory = worker.freeMemoryBytes();
        // First those on the accelerators, then as many others as the processors and the memory take.
        for (const bool isOnAccelerators : { true, false }) {
            for (const auto& [key, holding] : worker.holdings()) {
                const JobEntry* victim = state_.findJob(key.job_);
                if (!victim || !mayStop(entry, *victim, kind) || ((holding.accelerators_ & need.accelerators_) != 0) != isOnAccelerators)
                    continue;
                const bool isEnough = processors >= need.processorMillis_ && memory >= need.memoryBytes_;
                if (!isOnAccelerators && isEnough)
                    break;
                victims.insert(key.job_);
                processors += holding.processorMillis_;
                memory += holding.memoryBytes_;
            }
        }
    }
    return { victims.begin(), victims.end() };
}

}
