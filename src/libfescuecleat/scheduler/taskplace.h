#pragma once

#include "scheduler/acceleratormask.h"

#include <tuple>
#include <vector>

namespace fescuecleat {

/** Stands for the cell of tasks that run outside their organisation's guarantee. */
constexpr int noGuaranteedCell = -1;

/** Worker and accelerators chosen for one task. */
struct TaskPlace {
    /** Index of the worker in the worker table. */
    int worker_ = -1;
    AcceleratorMask accelerators_ = 0;
    /** The guaranteed cell that the task is charged to. */
    int guaranteedCell_ = noGuaranteedCell;

    auto asTuple() const { return std::tie(worker_, accelerators_, guaranteedCell_); }
    bool operator==(const TaskPlace& other) const { return asTuple() == other.asTuple(); }
    bool operator!=(const TaskPlace& other) const { return !(*this == other); }
};

/** Places of the tasks of a gang, by task index. */
struct Placement {
    std::vector<TaskPlace> tasks_;

    /** True if the placement is outside the organisation's guarantee. */
    bool isBorrowed() const { return tasks_.empty() || tasks_.front().guaranteedCell_ == noGuaranteedCell; }
    bool operator==(const Placement& other) const { return tasks_ == other.tasks_; }
};

}
