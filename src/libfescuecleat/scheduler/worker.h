#pragma once

#include "base/id.h"

#include <cstdint>
#include <tuple>

namespace fescuecleat {

/** Resources of a worker, as it reported them. */
struct WorkerCapacity {
    int accelerators_ = 0;
    /** Processor cores in thousandths. */
    std::int64_t processorMillis_ = 0;
    std::int64_t memoryBytes_ = 0;

    bool operator==(const WorkerCapacity& other) const
    {
        return std::tie(accelerators_, processorMillis_, memoryBytes_)
            == std::tie(other.accelerators_, other.processorMillis_, other.memoryBytes_);
    }
    bool operator!=(const WorkerCapacity& other) const { return !(*this == other); }
};

}
