#pragma once

#include "base/id.h"

#include <ostream>
#include <tuple>

namespace fescuecleat {

/** Identifies a task of one attempt of a job. Each attempt has its own keys, so that late messages of earlier attempts can be recognised. */
struct TaskKey {
    JobId job_;
    /** Number of the placement of the job, from 1. */
    int attempt_ = 0;
    /** Index in the gang, from 0. */
    int index_ = 0;

    bool operator==(const TaskKey& other) const { return std::tie(job_, attempt_, index_) == std::tie(other.job_, other.attempt_, other.index_); }
    bool operator!=(const TaskKey& other) const { return !(*this == other); }
    bool operator<(const TaskKey& other) const { return std::tie(job_, attempt_, index_) < std::tie(other.job_, other.attempt_, other.index_); }
};

inline std::ostream& operator<<(std::ostream& out, const TaskKey& key)
{
    return out << key.job_ << '/' << key.attempt_ << '/' << key.index_;
}

}
