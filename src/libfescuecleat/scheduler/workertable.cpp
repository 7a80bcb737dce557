#include "scheduler/workertable.h"

#include <algorithm>

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
    WorkerState& worker = mutableAt(index);
    const bool isKnown = worker.isPresent() && worker.rackIndex() >= 0 && worker.rack() == rack;
    if (isKnown && worker.reportedCapacity() == capacity)
        return false;
    if (worker.rackIndex() >= 0 && worker.rack() != rack) {
        auto& former = racks_[static_cast<std::size_t>(worker.rackIndex())].workers_;
        former.erase(std::remove(former.begin(), former.end(), index), former.end());
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
    return true;
}

void WorkerTable::leave(int index)
{
    mutableAt(index).setPresent(false);
}

void WorkerTable::hold(int index, const TaskKey& task, const Holding& holding)
{
    mutableAt(index).hold(task, holding);
}

void WorkerTable::release(int index, const TaskKey& task)
{
    mutableAt(index).release(task);
    ++freedVersion_;
}

void WorkerTable::setQuarantined(int index, bool isQuarantined)
{
    mutableAt(index).setQuarantined(isQuarantined);
    ++freedVersion_;
}

}
