#include "scheduler/workerstate.h"

#include <algorithm>
#include <utility>

namespace fescuecleat {

WorkerState::WorkerState(WorkerId id, int index)
    : id_(std::move(id))
    , index_(index)
{
}

void WorkerState::setRack(const RackId& rack, int rackIndex)
{
    rack_ = rack;
    rackIndex_ = rackIndex;
}

void WorkerState::setCapacity(const WorkerCapacity& capacity)
{
    reportedCapacity_ = capacity;
    capacity_ = capacity;
    capacity_.accelerators_ = std::clamp(capacity.accelerators_, 0, maxAcceleratorsPerWorker);
    recount();
}

void WorkerState::allocate(const TaskKey& task, const Allocation& allocation)
{
    allocations_[task] = allocation;
    recount();
}

void WorkerState::release(const TaskKey& task)
{
    if (allocations_.erase(task) > 0)
        recount();
}

void WorkerState::reserve(const TaskKey& task, const Allocation& allocation)
{
    reservations_[task] = allocation;
    recount();
}

void WorkerState::releaseReservation(const TaskKey& task)
{
    if (reservations_.erase(task) > 0)
        recount();
}

std::int64_t WorkerState::processorShare(int accelerators) const
{
    return capacity_.accelerators_ > 0 ? capacity_.processorMillis_ * accelerators / capacity_.accelerators_ : 0;
}

std::int64_t WorkerState::memoryShare(int accelerators) const
{
    return capacity_.accelerators_ > 0 ? capacity_.memoryBytes_ / capacity_.accelerators_ * accelerators : 0;
}

void WorkerState::recount()
{
    free_ = firstAccelerators(capacity_.accelerators_);
    freeProcessorMillis_ = capacity_.processorMillis_;
    freeMemoryBytes_ = capacity_.memoryBytes_;
    for (const auto& [task, allocation] : allocations_) {
        free_ &= ~allocation.accelerators_;
        freeProcessorMillis_ -= allocation.processorMillis_;
        freeMemoryBytes_ -= allocation.memoryBytes_;
    }
    reserved_ = 0;
    reservedProcessorMillis_ = 0;
    reservedMemoryBytes_ = 0;
    for (const auto& [task, allocation] : reservations_) {
        reserved_ |= allocation.accelerators_;
        reservedProcessorMillis_ += allocation.processorMillis_;
        reservedMemoryBytes_ += allocation.memoryBytes_;
    }
}

}
