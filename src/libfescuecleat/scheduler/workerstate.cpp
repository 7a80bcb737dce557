#include "scheduler/workerstate.h"

#include <algorithm>
#include <utility>

namespace fescuecleat {

WorkerState::WorkerState(WorkerId id, RackId rack, int index, int rackIndex)
    : id_(std::move(id))
    , rack_(std::move(rack))
    , index_(index)
    , rackIndex_(rackIndex)
{
}

void WorkerState::setCapacity(const WorkerCapacity& capacity)
{
    capacity_ = capacity;
    capacity_.accelerators_ = std::clamp(capacity.accelerators_, 0, maxAcceleratorsPerWorker);
    recount();
}

void WorkerState::hold(const TaskKey& task, const Holding& holding)
{
    holdings_[task] = holding;
    recount();
}

void WorkerState::release(const TaskKey& task)
{
    if (holdings_.erase(task) > 0)
        recount();
}

void WorkerState::recount()
{
    free_ = firstAccelerators(capacity_.accelerators_);
    freeProcessorMillis_ = capacity_.processorMillis_;
    freeMemoryBytes_ = capacity_.memoryBytes_;
    for (const auto& [task, holding] : holdings_) {
        free_ &= ~holding.accelerators_;
        freeProcessorMillis_ -= holding.processorMillis_;
        freeMemoryBytes_ -= holding.memoryBytes_;
    }
}

}
