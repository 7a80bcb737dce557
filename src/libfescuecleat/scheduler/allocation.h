#pragma once

#include "scheduler/acceleratormask.h"
#include "scheduler/taskplace.h"

#include <cstdint>

namespace fescuecleat {

/** Resources of a worker that are allocated to one task. */
struct Allocation {
    AcceleratorMask accelerators_ = 0;
    std::int64_t processorMillis_ = 0;
    /** The declared memory, or the reported use if that is higher. */
    std::int64_t memoryBytes_ = 0;
    /** The guaranteed cell that the task is charged to. A task without one is borrowing and may be preempted. */
    int guaranteedCell_ = noGuaranteedCell;
};

}
