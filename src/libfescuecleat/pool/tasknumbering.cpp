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

int TaskNumbering::stepOf(std::int64_t task) const
{
    const auto next = std::upper_bound(firstOfStep_.begin(), firstOfStep_.end(), task);
    return static_cast<int>(next - firstOfStep_.begin()) - 1;
}

}
