#pragma once

#include <string>
#include <tuple>

namespace fescuecleat {

/** Identifies one task of a job. */
struct TaskId {
    std::string job_;
    int occurrence_ = 0;
    int step_ = 0;
    int index_ = 0;

    bool operator==(const TaskId& other) const
    {
        return std::tie(job_, occurrence_, step_, index_) == std::tie(other.job_, other.occurrence_, other.step_, other.index_);
    }
    bool operator<(const TaskId& other) const
    {
        return std::tie(job_, occurrence_, step_, index_) < std::tie(other.job_, other.occurrence_, other.step_, other.index_);
    }
};

/** Whether two tasks belong to the same step of the same occurrence. */
inline bool areOfOneStep(const TaskId& left, const TaskId& right)
{
    return std::tie(left.job_, left.occurrence_, left.step_) == std::tie(right.job_, right.occurrence_, right.step_);
}

/** Identifies one run of a task. Numbers increase with each start. */
struct RunId {
    TaskId task_;
    int number_ = 0;

    bool operator==(const RunId& other) const { return number_ == other.number_ && task_ == other.task_; }
    bool operator<(const RunId& other) const { return std::tie(task_, number_) < std::tie(other.task_, other.number_); }
};

inline std::string toString(const TaskId& task)
{
    return task.job_ + "." + std::to_string(task.occurrence_) + "." + std::to_string(task.step_) + "." + std::to_string(task.index_);
}

}
