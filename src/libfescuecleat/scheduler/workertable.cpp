#include "scheduler/workertable.h"

#include <algorithm>
#include <utility>

namespace fescuecleat {

int WorkerTable::intern(const WorkerId& id)
{
    const auto [position, isNew] = byId_.emplace(id, size());
    if (isNew)
        workers_.emplace_back(id, position->second);
    return position->second;
}

int WorkerTable::find(const WorkerId& id) const
{
    const auto position = byId_.find(id);
    return position == byId_.end() ? -1 : position->second;
}

int WorkerTable::internRack(const RackId& id)
{
    const auto [position, isNew] = rackById_.emplace(id, static_cast<int>(racks_.size()));
    if (isNew)
        racks_.push_back(RackState { id, {} });
    return position->second;
}

bool WorkerTable::join(int index, const RackId& rack, const WorkerCapacity& capacity)
{
    WorkerState& worker = mutableWorker(index);
    const bool isKnown = worker.isPresent() && worker.rackIndex() >= 0 && worker.rack() == rack;
    if (isKnown && worker.reportedCapacity() == capacity)
        return false;
    if (worker.rackIndex() >= 0 && worker.rack() != rack) {
        auto& previousRack = racks_[static_cast<std::size_t>(worker.rackIndex())].workers_;
        previousRack.erase(std::remove(previousRack.begin(), previousRack.end(), index), previousRack.end());
        worker.setRack(RackId {}, -1);
    }
    if (worker.rackIndex() < 0) {
        const int rackIndex = internRack(rack);
        racks_[static_cast<std::size_t>(rackIndex)].workers_.push_back(index);
        worker.setRack(rack, rackIndex);
    }
    worker.setCapacity(capacity);
    worker.setPresent(true);
    ++freedVersion_;
    ++topologyVersion_;
    return true;
}

void WorkerTable::leave(int index)
{
    mutableWorker(index).setPresent(false);
    ++topologyVersion_;
}

void WorkerTable::allocate(int index, const TaskKey& task, const Allocation& allocation)
{
    mutableWorker(index).allocate(task, allocation);
    sharesFreed_ += static_cast<std::uint64_t>(allocation.accelerators_ != 0);
}

void WorkerTable::release(int index, const TaskKey& task)
{
    mutableWorker(index).release(task);
    ++freedVersion_;
    if (at(index).health() == WorkerHealth::Probation)
        ++topologyVersion_;
}

void WorkerTable::reserve(int index, const TaskKey& task, const Allocation& allocation)
{
    mutableWorker(index).reserve(task, allocation);
    sharesFreed_ += static_cast<std::uint64_t>(allocation.accelerators_ != 0);
}

void WorkerTable::releaseReservation(int index, const TaskKey& task)
{
    mutableWorker(index).releaseReservation(task);
    ++freedVersion_;
}

void WorkerTable::setHealth(int index, WorkerHealth health)
{
    mutableWorker(index).setHealth(health);
    ++freedVersion_;
    ++topologyVersion_;
}

void WorkerTable::setGuaranteed(int index, AcceleratorMask guaranteed)
{
    if (at(index).guaranteed() == guaranteed)
        return;
    mutableWorker(index).setGuaranteed(guaranteed);
    // Capacity outside of guaranteed cells may have become available.
    ++freedVersion_;
}

WorkerState& WorkerTable::mutableWorker(int index)
{
    const auto position = static_cast<std::size_t>(index);
    if (isChanged_.size() < workers_.size())
        isChanged_.resize(workers_.size(), false);
    if (!isChanged_[position]) {
        isChanged_[position] = true;
        changed_.push_back(index);
    }
    return workers_[position];
}

void WorkerTable::markAllChanged()
{
    for (int index = 0; index < size(); ++index)
        mutableWorker(index);
}

std::vector<int> WorkerTable::takeChangedWorkers()
{
    for (const int index : changed_)
        isChanged_[static_cast<std::size_t>(index)] = false;
    return std::exchange(changed_, {});
}

}
