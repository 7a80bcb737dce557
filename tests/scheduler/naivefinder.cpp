#include "scheduler/naivefinder.h"

#include <algorithm>
#include <map>

namespace fescuecleat {

namespace {

    using Positions = std::set<int>;

    /** Free resources of one worker, derived from its allocations and reservations. */
    struct FreeResources {
        int worker_ = 0;
        int rack_ = 0;
        int capacity_ = 0;
        Positions free_;
        Positions guaranteed_;
        std::int64_t processors_ = 0;
        std::int64_t memory_ = 0;
        int tasks_ = 0;
    };

    Positions positions(AcceleratorMask mask)
    {
        Positions result;
        for (int i = 0; i < maxAcceleratorsPerWorker; ++i) {
            if ((mask >> i & 1U) != 0)
                result.insert(i);
        }
        return result;
    }

    FreeResources freeResourcesOf(const WorkerState& worker, const FreeQuery& query)
    {
        FreeResources resources { worker.index(), worker.rackIndex(), worker.capacity().accelerators_, {}, positions(worker.guaranteed()), worker.capacity().processorMillis_, worker.capacity().memoryBytes_, 0 };
        for (int i = 0; i < resources.capacity_; ++i)
            resources.free_.insert(i);
        for (const auto* taken : { &worker.allocations(), &worker.reservations() }) {
            for (const auto& [key, allocation] : *taken) {
                for (const int position : positions(allocation.accelerators_))
                    resources.free_.erase(position);
                resources.processors_ -= allocation.processorMillis_;
                resources.memory_ -= allocation.memoryBytes_;
            }
        }
        if (query.demand_.shape_.accelerators_ == 0) {
            const auto free = static_cast<std::int64_t>(resources.free_.size());
            const auto all = std::max<std::int64_t>(1, resources.capacity_);
            resources.processors_ -= worker.capacity().processorMillis_ * free / all;
            resources.memory_ -= worker.capacity().memoryBytes_ / all * free;
        }
        if (query.excludesGuaranteed_) {
            for (const int position : resources.guaranteed_)
                resources.free_.erase(position);
        }
        const bool isBusy = !worker.allocations().empty();
        if (worker.isPresent() && worker.health() == WorkerHealth::Healthy)
            resources.tasks_ = maxGangTasks;
        else if (worker.isPresent() && worker.health() == WorkerHealth::Probation)
            resources.tasks_ = isBusy ? 0 : 1;
        return resources;
    }

    int freeIn(const FreeResources& resources, int base, int size)
    {
        int count = 0;
        for (int i = base; i < std::min(base + size, resources.capacity_); ++i)
            count += static_cast<int>(resources.free_.count(i));
        return count;
    }

    /** All possible places for one task on the worker, as tightness and accelerators. */
    std::vector<std::pair<int, Positions>> placesFor(const FreeResources& resources, int wanted)
    {
        std::vector<std::pair<int, Positions>> places;
        int size = 1;
        while (size < wanted)
            size *= 2;
        for (int base = 0; base < resources.capacity_; base += size) {
            if (freeIn(resources, base, size) < wanted)
                continue;
            int tightness = freeIn(resources, base, size);
            for (int cell = size; cell < 2 * resources.capacity_; cell *= 2) {
                const int start = base / cell * cell;
                const int length = std::min(cell, resources.capacity_ - start);
                if (freeIn(resources, start, cell) == length)
                    tightness = std::max(tightness, length);
            }
            Positions chosen;
            for (int i = base; static_cast<int>(chosen.size()) < wanted; ++i) {
                if (resources.free_.count(i) > 0)
                    chosen.insert(i);
            }
            places.emplace_back(tightness, chosen);
        }
        return places;
    }

    std::optional<std::pair<int, Positions>> tightestPlace(const FreeResources& resources, const TaskShape& shape)
    {
        if (resources.tasks_ <= 0 || resources.processors_ < shape.processorMillis_ || resources.memory_ < shape.memoryBytes_)
            return std::nullopt;
        if (shape.accelerators_ == 0)
            return std::make_pair(0, Positions {});
        const auto places = placesFor(resources, shape.accelerators_);
        const auto best = std::min_element(places.begin(), places.end(), [](const auto& one, const auto& other) { return one.first < other.first; });
        return best == places.end() ? std::nullopt : std::make_optional(*best);
    }

    /** Sort key of workers: tightest fit, then outside of guaranteed cells, then fewest free accelerators, then lowest index. */
    std::optional<std::vector<std::int64_t>> orderOf(const FreeResources& resources, const TaskShape& shape)
    {
        const auto place = tightestPlace(resources, shape);
        if (!place)
            return std::nullopt;
        if (shape.accelerators_ == 0)
            return std::vector<std::int64_t> { resources.capacity_ > 0, resources.processors_, resources.worker_ };
        const bool isGuaranteed = std::any_of(place->second.begin(), place->second.end(), [&](int position) { return resources.guaranteed_.count(position) > 0; });
        return std::vector<std::int64_t> { place->first, isGuaranteed, static_cast<std::int64_t>(resources.free_.size()), resources.worker_ };
    }

    std::optional<Placement> fillGroup(std::vector<FreeResources> group, const GangDemand& demand)
    {
        std::vector<std::pair<std::vector<std::int64_t>, FreeResources*>> order;
        for (FreeResources& resources : group) {
            if (const auto key = orderOf(resources, demand.shape_))
                order.emplace_back(*key, &resources);
        }
        std::sort(order.begin(), order.end());
        Placement placement;
        for (auto& [key, resources] : order) {
            while (static_cast<int>(placement.tasks_.size()) < demand.tasks_) {
                const auto place = tightestPlace(*resources, demand.shape_);
                if (!place)
                    break;
                AcceleratorMask mask = 0;
                for (const int position : place->second) {
                    mask |= AcceleratorMask { 1 } << position;
                    resources->free_.erase(position);
                }
                resources->processors_ -= demand.shape_.processorMillis_;
                resources->memory_ -= demand.shape_.memoryBytes_;
                --resources->tasks_;
                placement.tasks_.push_back(TaskPlace { resources->worker_, mask, noGuaranteedCell });
            }
        }
        if (static_cast<int>(placement.tasks_.size()) < demand.tasks_)
            return std::nullopt;
        return placement;
    }

}

std::optional<Placement> NaiveFinder::findFree(const FreeQuery& query, WorkerTable& workers)
{
    const TaskShape& shape = query.demand_.shape_;
    std::map<int, std::vector<FreeResources>> groups;
    for (int index = 0; index < workers.size(); ++index) {
        const FreeResources resources = freeResourcesOf(workers.at(index), query);
        if (resources.tasks_ == 0 || query.excludedWorkers_.count(index) > 0)
            continue;
        const Adjacency adjacency = query.demand_.adjacency_;
        groups[adjacency == Adjacency::Any ? 0 : adjacency == Adjacency::SameRack ? resources.rack_
                                                                                  : index]
            .push_back(resources);
    }
    std::optional<Placement> best;
    std::vector<std::int64_t> bestKey;
    for (const auto& [number, group] : groups) {
        const auto placement = fillGroup(group, query.demand_);
        if (!placement)
            continue;
        std::vector<std::int64_t> key { number };
        if (query.demand_.adjacency_ == Adjacency::SameWorker)
            key = *orderOf(group.front(), shape);
        if (query.demand_.adjacency_ == Adjacency::SameRack) {
            std::int64_t left = 0;
            for (const FreeResources& resources : group)
                left += shape.accelerators_ > 0 ? static_cast<std::int64_t>(resources.free_.size()) : std::max<std::int64_t>(0, resources.processors_);
            key = { left, number };
        }
        if (best && !(key < bestKey))
            continue;
        best = placement;
        bestKey = key;
    }
    return best;
}

}
