#pragma once

#include "scheduler/acceleratormask.h"
#include "scheduler/taskplace.h"

#include <cstdint>

namespace fescuecleat {

/** What one task takes of its worker. */
struct Holding {
    AcceleratorMask accelerators_ = 0;
    std::int64_t processorMillis_ = 0;
    /** The declared memory, or what was reported if that is more. */
    std::int64_t memoryBytes_ = 0;
    /** The guaranteed cell that it is charged to; a task without one may be stopped for guarantees. */
    int home_ = noHome;
};

}
