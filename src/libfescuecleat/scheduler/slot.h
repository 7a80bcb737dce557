#pragma once

#include "scheduler/acceleratormask.h"
#include "scheduler/taskplace.h"

#include <cstdint>
#include <limits>
#include <tuple>
#include <vector>

namespace fescuecleat {

/** A part of a slot that becomes free if a gang is stopped. */
struct VictimPart {
    AcceleratorMask accelerators_ = 0;
    /** What stopping the gang costs; the same for all of its parts. */
    std::int64_t cost_ = 0;
};

/** Room on one worker that tasks of one gang may be put on. */
struct Slot {
    int worker_ = -1;
    int rack_ = -1;
    /** Accelerators of the worker, used or not. */
    int capacity_ = 0;
    /** Accelerators that may be used; those of victims are among them. */
    AcceleratorMask usable_ = 0;
    std::int64_t processorMillis_ = 0;
    std::int64_t memoryBytes_ = 0;
    int maxTasks_ = std::numeric_limits<int>::max();
    /** Lower is taken first among equal costs. */
    int rank_ = 0;
    int home_ = noHome;
    /** Accelerators in guaranteed cells; taken last among equally tight ones. */
    AcceleratorMask guaranteed_ = 0;
    std::vector<VictimPart> victims_;
};

/** The order in which slots are taken. */
struct SlotKey {
    std::int64_t cost_ = 0;
    int rank_ = 0;
    /** With accelerators: size of the free cell that is broken up. Without: whether the worker has any. */
    std::int64_t tightness_ = 0;
    /** With accelerators: those in guaranteed cells first, then the free ones. Without: free processors. */
    std::int64_t room_ = 0;
    int worker_ = -1;
    int home_ = noHome;

    auto tied() const { return std::tie(cost_, rank_, tightness_, room_, worker_, home_); }
    bool operator<(const SlotKey& other) const { return tied() < other.tied(); }
    bool operator==(const SlotKey& other) const { return tied() == other.tied(); }
};

}
