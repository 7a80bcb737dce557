#include "scheduler/naivefinder.h"

#include <algorithm>
#include <map>

namespace fescuecleat {

namespace {

    using Positions = std::set<int>;

    /** One worker's free room, counted out by hand. */
    struct Room {
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

    Room roomOf(const WorkerState& worker, const FreeQuery& query)
    {
        Room room { worker.index(), worker.rackIndex(), worker.capacity().accelerators_, {}, positions(worker.guaranteed()), worker.capacity().processorMillis_, worker.capacity().memoryBytes_, 0 };
        for (int i = 0; i < room.capacity_; ++i)
            room.free_.insert(i);
        for (const auto* taken : { &worker.holdings(), &worker.reservations() }) {
            for (const auto& [key, holding] : *taken) {
                for (const int position : positions(holding.accelerators_))
                    room.free_.erase(position);
                room.processors_ -= holding.processorMillis_;
                room.memory_ -= holding.memoryBytes_;
            }
        }
        if (query.demand_.shape_.accelerators_ == 0) {
            const auto free = static_cast<std::int64_t>(room.free_.size());
            const auto all = std::max<std::int64_t>(1, room.capacity_);
            room.processors_ -= worker.capacity().processorMillis_ * free / all;
            room.memory_ -= worker.capacity().memoryBytes_ / all * free;
        }
        if (query.avoidsGuaranteed_) {
            for (const int position : room.guaranteed_)
                room.free_.erase(position);
        }
        const bool isBusy = !worker.holdings().empty();
        if (worker.isPresent() && worker.trust() == WorkerTrust::Trusted)
            room.tasks_ = maxGangTasks;
        else if (worker.isPresent() && worker.trust() == WorkerTrust::Probation)
            room.tasks_ = isBusy ? 0 : 1;
        return room;
    }

    int freeIn(const Room& room, int base, int size)
    {
        int count = 0;
        for (int i = base; i < std::min(base + size, room.capacity_); ++i)
            count += static_cast<int>(room.free_.count(i));
        return count;
    }

    /** Every place for one task on the worker: how tight, and which accelerators. */
    std::vector<std::pair<int, Positions>> placesFor(const Room& room, int wanted)
    {
        std::vector<std::pair<int, Positions>> places;
        int size = 1;
        while (size < wanted)
            size *= 2;
        for (int base = 0; base < room.capacity_; base += size) {
            if (freeIn(room, base, size) < wanted)
                continue;
            int tightness = freeIn(room, base, size);
            for (int cell = size; cell < 2 * room.capacity_; cell *= 2) {
                const int start = base / cell * cell;
                const int length = std::min(cell, room.capacity_ - start);
                if (freeIn(room, start, cell) == length)
                    tightness = std::max(tightness, length);
            }
            Positions chosen;
            for (int i = base; static_cast<int>(chosen.size()) < wanted; ++i) {
                if (room.free_.count(i) > 0)
                    chosen.insert(i);
            }
            places.emplace_back(tightness, chosen);
        }
        return places;
    }

    std::optional<std::pair<int, Positions>> tightestPlace(const Room& room, const TaskShape& shape)
    {
        if (room.tasks_ <= 0 || room.processors_ < shape.processorMillis_ || room.memory_ < shape.memoryBytes_)
            return std::nullopt;
        if (shape.accelerators_ == 0)
            return std::make_pair(0, Positions {});
        const auto places = placesFor(room, shape.accelerators_);
        const auto best = std::min_element(places.begin(), places.end(), [](const auto& one, const auto& other) { return one.first < other.first; });
        return best == places.end() ? std::nullopt : std::make_optional(*best);
    }

    /** Order of workers: tightest, then out of guarantees, then fullest, then oldest. */
    std::optional<std::vector<std::int64_t>> orderOf(const Room& room, const TaskShape& shape)
    {
        const auto place = tightestPlace(room, shape);
        if (!place)
            return std::nullopt;
        if (shape.accelerators_ == 0)
            return std::vector<std::int64_t> { room.capacity_ > 0, room.processors_, room.worker_ };
        const bool isGuaranteed = std::any_of(place->second.begin(), place->second.end(), [&](int position) { return room.guaranteed_.count(position) > 0; });
        return std::vector<std::int64_t> { place->first, isGuaranteed, static_cast<std::int64_t>(room.free_.size()), room.worker_ };
    }

    std::optional<Placement> fillGroup(std::vector<Room> rooms, const GangDemand& demand)
    {
        std::vector<std::pair<std::vector<std::int64_t>, Room*>> order;
        for (Room& room : rooms) {
            if (const auto key = orderOf(room, demand.shape_))
                order.emplace_back(*key, &room);
        }
        std::sort(order.begin(), order.end());
        Placement placement;
        for (auto& [key, room] : order) {
            while (static_cast<int>(placement.tasks_.size()) < demand.tasks_) {
                const auto place = tightestPlace(*room, demand.shape_);
                if (!place)
                    break;
                AcceleratorMask mask = 0;
                for (const int position : place->second) {
                    mask |= AcceleratorMask { 1 } << position;
                    room->free_.erase(position);
                }
                room->processors_ -= demand.shape_.processorMillis_;
                room->memory_ -= demand.shape_.memoryBytes_;
                --room->tasks_;
                placement.tasks_.push_back(TaskPlace { room->worker_, mask, noHome });
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
    std::map<int, std::vector<Room>> groups;
    for (int index = 0; index < workers.size(); ++index) {
        const Room room = roomOf(workers.at(index), query);
        if (room.tasks_ == 0 || query.avoided_.count(index) > 0)
            continue;
        const Adjacency adjacency = query.demand_.adjacency_;
        groups[adjacency == Adjacency::Any ? 0 : adjacency == Adjacency::SameRack ? room.rack_
                                                                                  : index]
            .push_back(room);
    }
    std::optional<Placement> best;
    std::vector<std::int64_t> bestKey;
    for (const auto& [number, rooms] : groups) {
        const auto placement = fillGroup(rooms, query.demand_);
        if (!placement)
            continue;
        std::vector<std::int64_t> key { number };
        if (query.demand_.adjacency_ == Adjacency::SameWorker)
            key = *orderOf(rooms.front(), shape);
        if (query.demand_.adjacency_ == Adjacency::SameRack) {
            std::int64_t left = 0;
            for (const Room& room : rooms)
                left += shape.accelerators_ > 0 ? static_cast<std::int64_t>(room.free_.size()) : std::max<std::int64_t>(0, room.processors_);
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
