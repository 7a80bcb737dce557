#include "pool/tasknumbering.h"

#include <algorithm>

namespace fescuecleat {

TaskNumbering::TaskNumbering(const PoolJobSpec& spec)
{
    for (const StepSpec& step : spec.steps_) {
        firstOfStep_.push_back(tasksPerOccurrence_);
        tasksPerOccurrence_ += step.taskCount_;
    }
}

std::int64_t TaskNumbering::number(int occurrence, int step, int index) const
{
    return occurrence * tasksPerOccurrence_ + firstOfStep_.at(static_cast<std::size_t>(step)) + std::max(index, 0);
}

}
