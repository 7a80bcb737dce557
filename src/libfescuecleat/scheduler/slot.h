#pragma once

#include "scheduler/acceleratormask.h"
#include "scheduler/taskplace.h"

#include <cstdint>
#include <limits>
#include <tuple>
#include <vector>

namespace fescuecleat {

/** Part of a slot that becomes free if a gang is preempted. */
struct VictimPart {
    AcceleratorMask accelerators_ = 0;
    /** Cost of preempting the gang; the same for all of its parts. */
    std::int64_t cost_ = 0;
};

/** Capacity on one worker that tasks of a gang may use. */
struct Slot {
    int worker_ = -1;
    int rack_ = -1;
    /** Total number of accelerators of the worker. */
    int capacity_ = 0;
    /** Accelerators that may be used, including those of victims. */
    AcceleratorMask usable_ = 0;
    std::int64_t processorMillis_ = 0;
    std::int64_t memoryBytes_ = 0;
    int maxTasks_ = std::numeric_limits<int>::max();
    /** Slots of lower rank are used first at equal cost. */
    int rank_ = 0;
    int guaranteedCell_ = noGuaranteedCell;
    /** Accelerators in guaranteed cells; used last among equally tight choices. */
    AcceleratorMask guaranteed_ = 0;
    std::vector<VictimPart> victims_;
};

/** Sort key of slots; the smallest is used first. */
struct SlotKey {
    std::int64_t cost_ = 0;
    int rank_ = 0;
    /** For tasks with accelerators: size of the free cell that is split. Otherwise: 1 if the worker has accelerators. */
    std::int64_t tightness_ = 0;
    /** For tasks with accelerators: usable accelerators, with choices in guaranteed cells sorted last. Otherwise: free processors. */
    std::int64_t freeCapacity_ = 0;
    int worker_ = -1;
    int guaranteedCell_ = noGuaranteedCell;

    auto asTuple() const { return std::tie(cost_, rank_, tightness_, freeCapacity_, worker_, guaranteedCell_); }
    bool operator<(const SlotKey& other) const { return asTuple() < other.asTuple(); }
    bool operator==(const SlotKey& other) const { return asTuple() == other.asTuple(); }
};

}
