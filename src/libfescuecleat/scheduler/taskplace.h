#pragma once

#include "scheduler/acceleratormask.h"

#include <tuple>
#include <vector>

namespace fescuecleat {

/** Where one task goes. */
struct TaskPlace {
    /** Index in the worker table. */
    int worker_ = -1;
    AcceleratorMask accelerators_ = 0;

    bool operator==(const TaskPlace& other) const { return std::tie(worker_, accelerators_) == std::tie(other.worker_, other.accelerators_); }
    bool operator!=(const TaskPlace& other) const { return !(*this == other); }
};

/** Where a gang goes, by task index. */
struct Placement {
    std::vector<TaskPlace> tasks_;
    /** True if it lies outside its organisation's guarantee. */
    bool isBorrowed_ = true;
};

}
