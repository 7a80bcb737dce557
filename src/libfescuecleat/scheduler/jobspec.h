#pragma once

#include "base/id.h"
#include "base/time.h"
#include "json/json.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace fescuecleat {

/** How close together the tasks of a gang have to be. */
enum class Adjacency {
    Any,
    SameRack,
    SameWorker,
};

/** What one task needs of its worker. */
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

/** A job as its caller submitted it. Never changes afterwards. */
struct JobSpec {
    JobId id_;
    OrganisationId organisation_;
    /** Repeated submissions with the same key are the same job. */
    std::string idempotencyKey_;
    /** Gang size, 1 to maxGangTasks. */
    int tasks_ = 1;
    TaskShape shape_;
    Adjacency adjacency_ = Adjacency::Any;
    bool isUrgent_ = false;
    /** False: it may run at most once, so it is never started a second time after a start was sent. */
    bool isIdempotent_ = true;
    /** False: the job can't be checkpointed; stopping it loses its work. */
    bool canCheckpoint_ = true;
    /** Run time that the caller declared; often wrong. */
    Duration declaredRunTime_ { 0 };
    /** What the task is to run, passed to the worker unread. */
    std::string payload_;

    bool operator==(const JobSpec&) const;
    bool operator!=(const JobSpec& other) const { return !(*this == other); }
};

/** Largest gang that is accepted, in tasks. */
constexpr int maxGangTasks = 128;

}
