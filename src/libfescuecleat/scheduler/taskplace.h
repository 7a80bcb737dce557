#pragma once

#include "scheduler/acceleratormask.h"

#include <tuple>
#include <vector>

namespace fescuecleat {

/** The home of tasks outside their organisation's guarantee. */
constexpr int noHome = -1;

/** Where one task goes. */
struct TaskPlace {
    /** Index in the worker table. */
    int worker_ = -1;
    AcceleratorMask accelerators_ = 0;
    /** The guaranteed cell that it is charged to. */
    int home_ = noHome;

    auto tied() const { return std::tie(worker_, accelerators_, home_); }
    bool operator==(const TaskPlace& other) const { return tied() == other.tied(); }
    bool operator!=(const TaskPlace& other) const { return !(*this == other); }
};

/** Where a gang goes, by task index. */
struct Placement {
    std::vector<TaskPlace> tasks_;

    /** True if it lies outside its organisation's guarantee. */
    bool isBorrowed() const { return tasks_.empty() || tasks_.front().home_ == noHome; }
    bool operator==(const Placement& other) const { return tasks_ == other.tasks_; }
};

}
