#pragma once

#include "base/id.h"
#include "base/time.h"
#include "json/json.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace fescuecleat {

/** Required proximity of the tasks of a gang. */
enum class Adjacency {
    Any,
    SameRack,
    SameWorker,
};

/** Resources that one task requests from its worker. */
struct TaskShape {
    int accelerators_ = 1;
    /** Processor cores in thousandths. */
    std::int64_t processorMillis_ = 1000;
    std::int64_t memoryBytes_ = 0;

    bool operator==(const TaskShape& other) const
    {
        return std::tie(accelerators_, processorMillis_, memoryBytes_)
            == std::tie(other.accelerators_, other.processorMillis_, other.memoryBytes_);
    }
    bool operator!=(const TaskShape& other) const { return !(*this == other); }
};

/** A job as submitted by its caller; immutable. */
struct JobSpec {
    JobId id_;
    OrganisationId organisation_;
    /** Submissions with the same key are the same job. */
    std::string idempotencyKey_;
    /** Number of tasks of the gang, 1 to maxGangTasks. */
    int tasks_ = 1;
    TaskShape shape_;
    Adjacency adjacency_ = Adjacency::Any;
    bool isUrgent_ = false;
    /** If false, the job may run at most once: it is not started again after a start request was sent. */
    bool isIdempotent_ = true;
    /** If false, the job can't be checkpointed and loses its work when it is stopped. */
    bool canCheckpoint_ = true;
    /** Run time declared by the caller, often inaccurate; zero if none was declared. */
    Duration declaredRunTime_ { 0 };
    /** Opaque description of what to run, passed on to the worker. */
    std::string payload_;

    bool operator==(const JobSpec&) const;
    bool operator!=(const JobSpec& other) const { return !(*this == other); }
};

/** Maximum number of tasks in a gang. */
constexpr int maxGangTasks = 128;

}
