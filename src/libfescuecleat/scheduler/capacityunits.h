#pragma once

#include "scheduler/jobspec.h"
#include "scheduler/worker.h"

#include <algorithm>
#include <cstdint>

namespace fescuecleat {

/** Processor time, in thousandths of a core, that one accelerator counts as. */
constexpr std::int64_t unitsOfAccelerator = 8000;

/** One measure for work with and without accelerators, in thousandths of a core. */
inline std::int64_t unitsOf(const TaskShape& shape)
{
    return std::max(shape.accelerators_ * unitsOfAccelerator, shape.processorMillis_);
}

inline std::int64_t unitsOf(const WorkerCapacity& capacity)
{
    return std::max(capacity.accelerators_ * unitsOfAccelerator, capacity.processorMillis_);
}

}
