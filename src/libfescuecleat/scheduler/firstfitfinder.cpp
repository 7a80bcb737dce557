#include "scheduler/firstfitfinder.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Puts as many of the gang's missing tasks on the worker as fit. */
    void fill(const JobEntry& entry, const WorkerState& worker, std::vector<TaskPlace>& places)
    {
        if (!worker.isPresent() || worker.isQuarantined() || entry.failedOn_.count(worker.index()) > 0)
            return;
        AcceleratorMask free = worker.freeAccelerators();
        std::int64_t processors = worker.freeProcessorMillis();
        std::int64_t memory = worker.freeMemoryBytes();
        while (static_cast<int>(places.size()) < entry.spec_.tasks_) {
            if (processors < entry.shape_.processorMillis_ || memory < entry.shape_.memoryBytes_)
                return;
            const auto block = tightestBlock(free, worker.capacity().accelerators_, entry.shape_.accelerators_);
            if (!block)
                return;
            places.push_back(TaskPlace { worker.index(), block->accelerators_ });
            free &= ~block->accelerators_;
            processors -= entry.shape_.processorMillis_;
            memory -= entry.shape_.memoryBytes_;
        }
    }

    std::optional<Placement> fillAll(const JobEntry& entry, const WorkerTable& workers, const std::vector<int>& candidates)
    {
        Placement placement;
        for (const int index : candidates)
            fill(entry, workers.at(index), placement.tasks_);
        if (static_cast<int>(placement.tasks_.size()) < entry.spec_.tasks_)
            return std::nullopt;
        return placement;
    }

}

std::optional<Placement> FirstFitFinder::findFree(const JobEntry& entry, const WorkerTable& workers)
{
    std::vector<std::vector<int>> groups;
    if (entry.spec_.adjacency_ == Adjacency::SameRack) {
        for (const RackState& rack : workers.racks())
            groups.push_back(rack.workers_);
    } else if (entry.spec_.adjacency_ == Adjacency::SameWorker) {
        for (int index = 0; index < workers.size(); ++index)
            groups.push_back({ index });
    } else {
        groups.emplace_back();
        for (int index = 0; index < workers.size(); ++index)
            groups.back().push_back(index);
    }
    for (const std::vector<int>& group : groups) {
        if (auto placement = fillAll(entry, workers, group))
            return placement;
    }
    return std::nullopt;
}

}
