#include "scheduler/slotfill.h"

#include <algorithm>
#include <map>

namespace fescuecleat {

namespace {

    struct SlotBlock {
        std::int64_t cost_ = 0;
        BlockChoice block_;
    };

    std::int64_t costOf(const Slot& slot, AcceleratorMask accelerators)
    {
        std::int64_t cost = 0;
        for (const VictimPart& victim : slot.victims_) {
            if ((victim.accelerators_ & accelerators) != 0)
                cost += victim.cost_;
        }
        return cost;
    }

    AcceleratorMask freeOf(const Slot& slot)
    {
        AcceleratorMask free = slot.usable_;
        for (const VictimPart& victim : slot.victims_)
            free &= ~victim.accelerators_;
        return free;
    }

    /** The block with the lowest preemption cost; a free block costs nothing. */
    std::optional<SlotBlock> cheapestBlock(const Slot& slot, int accelerators)
    {
        if (const auto block = tightestBlock(freeOf(slot), slot.capacity_, accelerators))
            return SlotBlock { 0, *block };
        if (slot.victims_.empty())
            return std::nullopt;
        std::optional<SlotBlock> best;
        const int size = blockSizeFor(accelerators);
        for (int base = 0; base < slot.capacity_; base += size) {
            const AcceleratorMask inBlock = slot.usable_ & (firstAccelerators(base + size) & ~firstAccelerators(base));
            const auto block = tightestBlock(inBlock, slot.capacity_, accelerators);
            if (!block)
                continue;
            const std::int64_t cost = costOf(slot, block->accelerators_);
            if (!best || cost < best->cost_)
                best = SlotBlock { cost, *block };
        }
        return best;
    }

    bool fitsOneTask(const Slot& slot, const TaskShape& shape)
    {
        return slot.maxTasks_ > 0 && slot.processorMillis_ >= shape.processorMillis_ && slot.memoryBytes_ >= shape.memoryBytes_;
    }

    /** Slots of one adjacency group, sorted by key. */
    struct SlotGroup {
        std::vector<std::pair<SlotKey, Slot>> slots_;
        std::int64_t freeCapacity_ = 0;
    };

    int groupOf(const Slot& slot, Adjacency adjacency)
    {
        switch (adjacency) {
        case Adjacency::Any:
            return 0;
        case Adjacency::SameRack:
            return slot.rack_;
        case Adjacency::SameWorker:
            return slot.worker_;
        }
        return 0;
    }

    std::int64_t freeCapacityOf(const Slot& slot, const TaskShape& shape)
    {
        return shape.accelerators_ > 0 ? countAccelerators(slot.usable_) : std::max<std::int64_t>(0, slot.processorMillis_);
    }

    struct GroupResult {
        std::int64_t cost_ = 0;
        Placement placement_;
    };

    std::optional<GroupResult> fillGroup(SlotGroup& group, const GangDemand& demand)
    {
        std::sort(group.slots_.begin(), group.slots_.end(), [](const auto& one, const auto& other) { return one.first < other.first; });
        GroupResult result;
        for (auto& [key, slot] : group.slots_) {
            const std::size_t before = result.placement_.tasks_.size();
            fillSlot(slot, demand.shape_, demand.tasks_ - static_cast<int>(before), result.placement_.tasks_);
            AcceleratorMask taken = 0;
            for (std::size_t i = before; i < result.placement_.tasks_.size(); ++i)
                taken |= result.placement_.tasks_[i].accelerators_;
            result.cost_ += costOf(slot, taken);
            if (static_cast<int>(result.placement_.tasks_.size()) == demand.tasks_)
                return result;
        }
        return std::nullopt;
    }

}

std::optional<SlotKey> keyOf(const Slot& slot, const TaskShape& shape)
{
    if (!fitsOneTask(slot, shape))
        return std::nullopt;
    SlotKey key;
    key.rank_ = slot.rank_;
    key.worker_ = slot.worker_;
    key.guaranteedCell_ = slot.guaranteedCell_;
    if (shape.accelerators_ == 0) {
        key.tightness_ = static_cast<int>(slot.capacity_ > 0);
        key.freeCapacity_ = slot.processorMillis_;
        return key;
    }
    const auto choice = cheapestBlock(slot, shape.accelerators_);
    if (!choice)
        return std::nullopt;
    key.cost_ = choice->cost_;
    key.tightness_ = choice->block_.enclosingCellSize_;
    const bool isGuaranteed = (choice->block_.accelerators_ & slot.guaranteed_) != 0;
    key.freeCapacity_ = (isGuaranteed ? maxAcceleratorsPerWorker + 1 : 0) + countAccelerators(slot.usable_);
    return key;
}

void fillSlot(Slot& slot, const TaskShape& shape, int missing, std::vector<TaskPlace>& places)
{
    for (; missing > 0 && fitsOneTask(slot, shape); --missing) {
        const auto choice = cheapestBlock(slot, shape.accelerators_);
        if (!choice)
            return;
        const AcceleratorMask taken = choice->block_.accelerators_;
        places.push_back(TaskPlace { slot.worker_, taken, slot.guaranteedCell_ });
        slot.usable_ &= ~taken;
        slot.processorMillis_ -= shape.processorMillis_;
        slot.memoryBytes_ -= shape.memoryBytes_;
        --slot.maxTasks_;
    }
}

std::optional<Placement> fillSlots(const std::vector<Slot>& slots, const GangDemand& demand)
{
    std::map<int, SlotGroup> groups;
    for (const Slot& slot : slots) {
        if (slot.maxTasks_ <= 0)
            continue;
        SlotGroup& group = groups[groupOf(slot, demand.adjacency_)];
        group.freeCapacity_ += freeCapacityOf(slot, demand.shape_);
        if (const auto key = keyOf(slot, demand.shape_))
            group.slots_.emplace_back(*key, slot);
    }
    std::optional<GroupResult> best;
    std::tuple<std::int64_t, std::int64_t, SlotKey> bestKey;
    for (auto& [number, group] : groups) {
        auto result = fillGroup(group, demand);
        if (!result)
            continue;
        const bool isRack = demand.adjacency_ == Adjacency::SameRack;
        // Racks are compared by free capacity, workers by the key of their slot.
        std::tuple<std::int64_t, std::int64_t, SlotKey> key { result->cost_, isRack ? group.freeCapacity_ : 0, isRack ? SlotKey {} : group.slots_.front().first };
        if (best && !(key < bestKey))
            continue;
        best = std::move(result);
        bestKey = key;
    }
    if (!best)
        return std::nullopt;
    return best->placement_;
}

}
