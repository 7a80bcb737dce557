#pragma once

#include "base/time.h"
#include "scheduler/taskkey.h"
#include "scheduler/taskstate.h"
#include "json/objectreader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuecleat::standins {

/** Actual behaviour of a task, read from its payload; may differ from what was declared. */
struct TaskBehaviour {
    /** Run time of the whole work. */
    Duration runTime_ { 0 };
    std::int64_t memoryBytes_ = 0;
    /** Processor usage as a share of the declared amount. */
    double processorShare_ = 1;
    /** False: the task ignores requests to write a checkpoint. */
    bool writesCheckpoints_ = true;
    /** The task fails at the end of its run time. */
    bool fails_ = false;
    /** The task fails whenever it starts on this worker; empty: on none. */
    std::string failsOn_;
    /** Identifies the task in audits. */
    std::string tag_;
};

/** Body of a prepare call. */
struct PrepareRequest {
    TaskKey task_;
    std::vector<int> accelerators_;
    std::int64_t processorMillis_ = 0;
    std::int64_t memoryBytes_ = 0;
    std::string organisation_;
    TaskBehaviour behaviour_;
};

/** A task that a worker has prepared, runs or still reports after its end. */
struct WorkerTask {
    PrepareRequest request_;
    TaskState state_ = TaskState::Prepared;
    std::string reason_;
    Time startedAt_ { Duration::zero() };
    /** When a running task ends without being stopped. */
    Time endsAt_ = Time::max();
    /** When the requested checkpoint is written; Time::max(): none is being written. */
    Time checkpointDoneAt_ = Time::max();
    /** When a task is killed that has been asked for a checkpoint; Time::max(): never. */
    Time killAt_ = Time::max();
    /** Share of the work that the latest checkpoint covers, 0 to 1. */
    double checkpointedShare_ = 0;
    bool isThrottled_ = false;
};

/** True if the task has ended and is only reported. */
inline bool isEnded(const WorkerTask& task)
{
    return task.state_ != TaskState::Prepared && task.state_ != TaskState::Running;
}

/** Parses {"job", "attempt", "index"}. */
TaskKey parseTaskKey(const JsonValue&, const std::string& path, std::vector<Error>& errors);

/** Parses the body of a prepare call; declared run times are multiplied by `runScale`. */
PrepareRequest parsePrepare(ObjectReader&, std::vector<Error>& errors, double runScale);

}
