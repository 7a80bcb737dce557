#include "scheduler/placementfinder.h"

#include <algorithm>
#include <map>

namespace fescuecleat {

Slot freeSlot(const WorkerState& worker, const TaskShape& shape, bool excludesGuaranteed)
{
    Slot slot;
    slot.worker_ = worker.index();
    slot.rack_ = worker.rackIndex();
    slot.capacity_ = worker.capacity().accelerators_;
    slot.maxTasks_ = 0;
    if (!worker.isUsable())
        return slot;
    slot.maxTasks_ = std::numeric_limits<int>::max();
    if (worker.health() == WorkerHealth::Probation)
        slot.maxTasks_ = worker.allocations().empty() ? 1 : 0;
    slot.usable_ = worker.availableAccelerators();
    slot.guaranteed_ = worker.guaranteed();
    if (excludesGuaranteed)
        slot.usable_ &= ~worker.guaranteed();
    slot.processorMillis_ = worker.availableProcessorMillis();
    slot.memoryBytes_ = worker.availableMemoryBytes();
    if (shape.accelerators_ > 0)
        return slot;
    // Keep a share of processors and memory for each free accelerator; otherwise tasks without accelerators could make them unusable.
    const int free = countAccelerators(worker.availableAccelerators());
    slot.processorMillis_ -= worker.processorShare(free);
    slot.memoryBytes_ -= worker.memoryShare(free);
    return slot;
}

bool fitsNow(const Placement& placement, const TaskShape& shape, const WorkerTable& workers)
{
    std::map<int, Allocation> needs;
    for (const TaskPlace& place : placement.tasks_) {
        Allocation& need = needs[place.worker_];
        need.accelerators_ |= place.accelerators_;
        need.processorMillis_ += shape.processorMillis_;
        need.memoryBytes_ += shape.memoryBytes_;
    }
    return std::all_of(needs.begin(), needs.end(), [&](const auto& entry) {
        const auto& [index, need] = entry;
        const WorkerState& worker = workers.at(index);
        return worker.isUsable() && (need.accelerators_ & ~worker.freeAccelerators()) == 0
            && need.processorMillis_ <= worker.freeProcessorMillis() && need.memoryBytes_ <= worker.freeMemoryBytes();
    });
}

FreeQuery freeQueryOf(const JobEntry& entry)
{
    FreeQuery query;
    query.demand_ = GangDemand { entry.shape_, entry.spec_.tasks_, entry.spec_.adjacency_ };
    query.excludedWorkers_ = entry.failedWorkers_;
    query.excludesGuaranteed_ = !entry.spec_.isIdempotent_;
    return query;
}

}
