#include "scheduler/claimplanner.h"

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

bool ClaimPlanner::mayStop(const JobEntry& claimant, const JobEntry& victim, ClaimKind kind) const
{
    if (!victim.isBorrower_)
        return false;
    switch (kind) {
    case ClaimKind::Reclaim:
    case ClaimKind::Aged:
        return true;
    case ClaimKind::Urgent:
        return !victim.spec_.isUrgent_;
    case ClaimKind::Defragment:
        return victim.phase_ == JobPhase::Running && canResume(victim) && !victim.spec_.isUrgent_
            && unitsOfGang(victim) * moveGain <= unitsOfGang(claimant);
    }
    return false;
}

std::int64_t ClaimPlanner::costOf(const JobEntry& victim) const
{
    if (victim.phase_ == JobPhase::Stopping)
        return 1;
    return 1 + unitsOfGang(victim) * (canResume(victim) ? 1 : lostWorkFactor);
}

void ClaimPlanner::addVictims(Slot& slot, const JobEntry& claimant, const WorkerState& worker, ClaimKind kind) const
{
    for (const auto& [key, holding] : worker.holdings()) {
        const JobEntry* victim = state_.findJob(key.job_);
        const bool isStray = !victim || state_.strays_.count(key) > 0;
        const bool canStop = !isStray && mayStop(claimant, *victim, kind);
        const bool canWait = !isStray && kind == ClaimKind::Aged;
        const AcceleratorMask part = holding.accelerators_ & slot.usable_;
        if (!canStop && !canWait) {
            slot.usable_ &= ~holding.accelerators_;
            continue;
        }
        if (part != 0)
            slot.victims_.push_back(VictimPart { part, canStop ? costOf(*victim) : waitCost });
    }
}

std::optional<Placement> ClaimPlanner::planInHomes(const JobEntry& entry) const
{
    std::vector<Slot> slots = state_.ledger_.reclaimableSlots(entry.spec_.organisation_, state_.workers_);
    std::vector<Slot> allowed;
    for (Slot& slot : slots) {
        if (entry.failedOn_.count(slot.worker_) > 0)
            continue;
        addVictims(slot, entry, state_.workers_.at(slot.worker_), ClaimKind::Reclaim);
        allowed.push_back(std::move(slot));
    }
    return fillSlots(allowed, freeQueryOf(entry).demand_);
}

Slot ClaimPlanner::slotOf(const JobEntry& entry, const WorkerState& worker, ClaimKind kind) const
{
    // CPU and memory as if everything that may be stopped were gone.
    Slot slot = freeSlot(worker, entry.shape_, false);
    if (slot.maxTasks_ == 0)
        return slot;
    AcceleratorMask claimed = 0;
    for (const auto& [key, claim] : worker.claims())
        claimed |= claim.accelerators_;
    slot.usable_ = firstAccelerators(slot.capacity_) & ~claimed;
    if (!entry.spec_.isIdempotent_)
        slot.usable_ &= ~worker.guaranteed();
    addVictims(slot, entry, worker, kind);
    for (const auto& [key, holding] : worker.holdings()) {
        const JobEntry* victim = state_.findJob(key.job_);
        if (!victim || !(mayStop(entry, *victim, kind) || kind == ClaimKind::Aged))
            continue;
        slot.processorMillis_ += holding.processorMillis_;
        slot.memoryBytes_ += holding.memoryBytes_;
    }
    return slot;
}

std::optional<Placement> ClaimPlanner::planAnywhere(const JobEntry& entry, ClaimKind kind) const
{
    std::vector<Slot> slots;
    for (int index = 0; index < state_.workers_.size(); ++index) {
        if (entry.failedOn_.count(index) == 0)
            slots.push_back(slotOf(entry, state_.workers_.at(index), kind));
    }
    return fillSlots(slots, freeQueryOf(entry).demand_);
}

std::vector<JobId> ClaimPlanner::victimsOf(const JobEntry& entry, const Placement& placement, ClaimKind kind) const
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
