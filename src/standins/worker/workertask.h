#pragma once

#include "base/time.h"
#include "scheduler/taskkey.h"
#include "scheduler/taskstate.h"
#include "json/objectreader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuecleat::standins {

/** How a task really behaves, whatever was declared. Read from its payload. */
struct TaskBehaviour {
    /** Full run time of the work. */
    Duration runTime_ { 0 };
    std::int64_t memoryBytes_ = 0;
    /** Processor use as a share of what was declared. */
    double processorShare_ = 1;
    /** False: it ignores the request to write a checkpoint. */
    bool writesCheckpoints_ = true;
    /** It fails after its run time. */
    bool fails_ = false;
    /** It fails whenever it runs on this worker; empty: on none. */
    std::string failsOn_;
    /** For audits. */
    std::string tag_;
};

/** What a call asks a worker to hold. */
struct PrepareRequest {
    TaskKey task_;
    std::vector<int> accelerators_;
    std::int64_t processorMillis_ = 0;
    std::int64_t memoryBytes_ = 0;
    std::string organisation_;
    TaskBehaviour behaviour_;
};

/** A task that a worker holds, runs or still reports. */
struct WorkerTask {
    PrepareRequest request_;
    TaskState state_ = TaskState::Prepared;
    std::string reason_;
    Time started_ { Duration::zero() };
    /** When a running task ends by itself. */
    Time ends_ = Time::max();
    /** When the checkpoint that was asked for is written; max: none was. */
    Time checkpointDone_ = Time::max();
    /** When a task that writes a checkpoint is killed. */
    Time killed_ = Time::max();
    /** Share of the work that earlier checkpoints hold, 0 to 1. */
    double checkpointedShare_ = 0;
    bool isThrottled_ = false;
};

/** True if the worker has ended the task and only reports it. */
inline bool isEnded(const WorkerTask& task)
{
    return task.state_ != TaskState::Prepared && task.state_ != TaskState::Running;
}

/** Parses {"job", "attempt", "index"}. */
TaskKey parseTaskKey(const JsonValue&, const std::string& path, std::vector<Error>& errors);

/** Parses the body of a prepare call; `runScale` shortens declared run times. */
PrepareRequest parsePrepare(ObjectReader&, std::vector<Error>& errors, double runScale);

}
