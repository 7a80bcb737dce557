#pragma once

#include "scheduler/jobspec.h"
#include "scheduler/worker.h"

#include <algorithm>
#include <cstdint>

namespace fescuecleat {

/** Processor capacity, in thousandths of a core, that one accelerator is worth. */
constexpr std::int64_t processorMillisPerAccelerator = 8000;

/** Capacity in a common unit for work with and without accelerators: thousandths of a core. */
inline std::int64_t capacityUnitsOf(const TaskShape& shape)
{
    return std::max(shape.accelerators_ * processorMillisPerAccelerator, shape.processorMillis_);
}

inline std::int64_t capacityUnitsOf(const WorkerCapacity& capacity)
{
    return std::max(capacity.accelerators_ * processorMillisPerAccelerator, capacity.processorMillis_);
}

}
