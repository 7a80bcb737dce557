#pragma once

#include "base/id.h"

#include <ostream>
#include <tuple>

namespace fescuecleat {

/** One task of one attempt of a job. A later attempt has other keys, so late messages are told apart. */
struct TaskKey {
    JobId job_;
    /** Counts placements of the job, from 1. */
    int attempt_ = 0;
    /** Position in the gang, from 0. */
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
