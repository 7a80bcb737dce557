#include "scheduler/indexedfinder.h"

#include <algorithm>
#include <numeric>

namespace fescuecleat {

namespace {

    TaskShape probeShape(int accelerators)
    {
        return TaskShape { accelerators, 0, 0 };
    }

    /** Lower bound of the workers with at least this much free processor capacity. */
    SlotKey firstKey(bool hasAccelerators, std::int64_t processorMillis)
    {
        SlotKey key;
        key.tightness_ = static_cast<int>(hasAccelerators);
        key.freeCapacity_ = processorMillis;
        return key;
    }

    /** Calls `visit` for each worker that may fit the shape, in order, until it returns true. */
    template <typename Visit>
    void forEachKey(const std::set<SlotKey>& keys, const TaskShape& shape, Visit visit)
    {
        if (shape.accelerators_ > 0) {
            for (const SlotKey& key : keys) {
                if (visit(key))
                    return;
            }
            return;
        }
        for (const bool hasAccelerators : { false, true }) {
            const auto end = keys.lower_bound(firstKey(true, hasAccelerators ? std::numeric_limits<std::int64_t>::max() : 0));
            for (auto key = keys.lower_bound(firstKey(hasAccelerators, shape.processorMillis_)); key != keys.end() && key != end; ++key) {
                if (visit(*key))
                    return;
            }
        }
    }

}

std::optional<Placement> IndexedFinder::findFree(const FreeQuery& query, WorkerTable& workers)
{
    refresh(workers);
    if (query.excludesGuaranteed_ || !query.excludedWorkers_.empty()) {
        std::vector<int> everyWorker(static_cast<std::size_t>(workers.size()));
        std::iota(everyWorker.begin(), everyWorker.end(), 0);
        return findByScan(query, workers, everyWorker);
    }
    const TaskShape& shape = query.demand_.shape_;
    const bool countsAccelerators = shape.accelerators_ > 0;
    const std::int64_t perTask = countsAccelerators ? shape.accelerators_ : shape.processorMillis_;
    const RackOrder& racks = countsAccelerators ? byAccelerators_ : byProcessors_;
    if (racks.total_ < perTask * query.demand_.tasks_)
        return std::nullopt;
    switch (query.demand_.adjacency_) {
    case Adjacency::Any:
        return findAnywhere(query, workers);
    case Adjacency::SameRack:
        return findInOneRack(query, workers);
    case Adjacency::SameWorker:
        return findOnOneWorker(query, workers);
    }
    return std::nullopt;
}

void IndexedFinder::refresh(WorkerTable& workers)
{
    workerCount_ = workers.size();
    const auto racks = workers.racks().size();
    for (RackOrder* order : { &byAccelerators_, &byProcessors_ }) {
        order->freeCapacityOfRack_.resize(racks, 0);
        order->freeCapacityOfWorker_.resize(static_cast<std::size_t>(workerCount_), 0);
        order->rackOfWorker_.resize(static_cast<std::size_t>(workerCount_), -1);
    }
    for (const int index : workers.takeChangedWorkers()) {
        const WorkerState& worker = workers.at(index);
        for (auto& [accelerators, order] : workerOrders_)
            update(order, accelerators, worker);
        update(byAccelerators_, true, worker);
        update(byProcessors_, false, worker);
    }
}

void IndexedFinder::update(WorkerOrder& order, int accelerators, const WorkerState& worker)
{
    const auto position = static_cast<std::size_t>(worker.index());
    if (order.keyOfWorker_.size() <= position)
        order.keyOfWorker_.resize(static_cast<std::size_t>(workerCount_));
    auto& key = order.keyOfWorker_[position];
    const TaskShape shape = probeShape(accelerators);
    const auto next = keyOf(freeSlot(worker, shape, false), shape);
    if (key == next)
        return;
    if (key)
        order.keys_.erase(*key);
    if (next)
        order.keys_.insert(*next);
    key = next;
}

void IndexedFinder::update(RackOrder& order, bool countsAccelerators, const WorkerState& worker)
{
    const auto addToRack = [&](int rack, std::int64_t difference) {
        auto& freeCapacity = order.freeCapacityOfRack_[static_cast<std::size_t>(rack)];
        order.racks_.erase({ freeCapacity, rack });
        freeCapacity += difference;
        order.total_ += difference;
        order.racks_.emplace(freeCapacity, rack);
    };
    const auto position = static_cast<std::size_t>(worker.index());
    if (order.rackOfWorker_[position] >= 0)
        addToRack(order.rackOfWorker_[position], -order.freeCapacityOfWorker_[position]);
    const TaskShape shape = probeShape(countsAccelerators ? 1 : 0);
    const Slot slot = freeSlot(worker, shape, false);
    order.rackOfWorker_[position] = worker.rackIndex();
    order.freeCapacityOfWorker_[position] = 0;
    if (worker.rackIndex() < 0)
        return;
    if (slot.maxTasks_ > 0)
        order.freeCapacityOfWorker_[position] = countsAccelerators ? countAccelerators(slot.usable_) : std::max<std::int64_t>(0, slot.processorMillis_);
    addToRack(worker.rackIndex(), order.freeCapacityOfWorker_[position]);
}

IndexedFinder::WorkerOrder& IndexedFinder::orderFor(int accelerators, const WorkerTable& workers)
{
    const auto [position, isNew] = workerOrders_.try_emplace(accelerators);
    if (isNew) {
        for (int index = 0; index < workers.size(); ++index)
            update(position->second, accelerators, workers.at(index));
    }
    return position->second;
}

std::optional<Placement> IndexedFinder::findAnywhere(const FreeQuery& query, const WorkerTable& workers)
{
    const GangDemand& demand = query.demand_;
    Placement placement;
    forEachKey(orderFor(demand.shape_.accelerators_, workers).keys_, demand.shape_, [&](const SlotKey& key) {
        Slot slot = freeSlot(workers.at(key.worker_), demand.shape_, false);
        fillSlot(slot, demand.shape_, demand.tasks_ - static_cast<int>(placement.tasks_.size()), placement.tasks_);
        return static_cast<int>(placement.tasks_.size()) == demand.tasks_;
    });
    if (static_cast<int>(placement.tasks_.size()) < demand.tasks_)
        return std::nullopt;
    return placement;
}

std::optional<Placement> IndexedFinder::findOnOneWorker(const FreeQuery& query, const WorkerTable& workers)
{
    const GangDemand& demand = query.demand_;
    std::optional<Placement> found;
    forEachKey(orderFor(demand.shape_.accelerators_, workers).keys_, demand.shape_, [&](const SlotKey& key) {
        Slot slot = freeSlot(workers.at(key.worker_), demand.shape_, false);
        if (countAccelerators(slot.usable_) < demand.tasks_ * demand.shape_.accelerators_)
            return false;
        Placement placement;
        fillSlot(slot, demand.shape_, demand.tasks_, placement.tasks_);
        if (static_cast<int>(placement.tasks_.size()) == demand.tasks_)
            found = placement;
        return found.has_value();
    });
    return found;
}

std::optional<Placement> IndexedFinder::findInOneRack(const FreeQuery& query, const WorkerTable& workers)
{
    const TaskShape& shape = query.demand_.shape_;
    const bool countsAccelerators = shape.accelerators_ > 0;
    const RackOrder& order = countsAccelerators ? byAccelerators_ : byProcessors_;
    const std::int64_t needed = query.demand_.tasks_ * (countsAccelerators ? shape.accelerators_ : shape.processorMillis_);
    for (auto rack = order.racks_.lower_bound({ needed, -1 }); rack != order.racks_.end(); ++rack) {
        auto placement = findByScan(query, workers, workers.racks()[static_cast<std::size_t>(rack->second)].workers_);
        if (placement)
            return placement;
    }
    return std::nullopt;
}

std::optional<Placement> IndexedFinder::findByScan(const FreeQuery& query, const WorkerTable& workers, const std::vector<int>& candidates)
{
    std::vector<Slot> slots;
    for (const int index : candidates) {
        if (query.excludedWorkers_.count(index) == 0)
            slots.push_back(freeSlot(workers.at(index), query.demand_.shape_, query.excludesGuaranteed_));
    }
    return fillSlots(slots, query.demand_);
}

}
