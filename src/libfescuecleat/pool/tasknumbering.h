#pragma once

#include "pool/pooljobspec.h"
#include "pool/unitid.h"

#include <cstdint>
#include <vector>

namespace fescuecleat {

/** Numbers all tasks of a job: occurrence by occurrence, step by step, index by index. */
class TaskNumbering {
public:
    TaskNumbering() = default;
    explicit TaskNumbering(const PoolJobSpec&);

    /** `index` is that of the task; that of a gang, which is negative, gives its first task. */
    std::int64_t number(int occurrence, int step, int index) const;
    /** The first task of a unit. */
    std::int64_t number(const UnitId& unit) const { return number(unit.occurrence_, unit.step_, unit.index_); }
    /** The step of a task by its number within its occurrence, which must be valid. */
    int stepOf(std::int64_t task) const;
    std::int64_t tasksPerOccurrence() const { return tasksPerOccurrence_; }

private:
    std::vector<std::int64_t> firstOfStep_;
    std::int64_t tasksPerOccurrence_ = 0;
};

}
