#pragma once

#include "base/id.h"
#include "base/time.h"
#include "scheduler/jobspec.h"
#include "scheduler/taskkey.h"
#include "state/jobstate.h"

#include <string>
#include <variant>
#include <vector>

namespace fescuecleat {

/** Hold devices for the task on the worker, do no work yet. */
struct PrepareTask {
    TaskKey task_;
    WorkerId worker_;
    /** Positions of the accelerators on the worker. */
    std::vector<int> accelerators_;
    TaskShape shape_;
};

/** Start a prepared task; not to be sent after the deadline. */
struct StartTask {
    TaskKey task_;
    WorkerId worker_;
    Time deadline_;
};

/** Write a checkpoint, then stop; killed at the deadline without one. */
struct CheckpointTask {
    TaskKey task_;
    WorkerId worker_;
    Time deadline_;
};

/** Stop at once and release the devices. */
struct StopTask {
    TaskKey task_;
    WorkerId worker_;
};

/** Hold the task to its declared size. */
struct ThrottleTask {
    TaskKey task_;
    WorkerId worker_;
};

/** Make a change of the job's state durable. The shell writes it before it carries out later actions of the same batch. */
struct RecordJob {
    JobId job_;
    JobState state_ = JobState::Queued;
    int attempt_ = 0;
    /** Workers of the gang by task index; empty unless placed. */
    std::vector<WorkerId> placement_;
    double checkpointedShare_ = 0;
    /** Attempts that failed so far; comes back in JobSubmitted. */
    int failures_ = 0;
    /** Why, for people; empty if plain. */
    std::string reason_;
};

/** The job may move to another data centre: no task of it can still run here. */
struct OfferJob {
    JobId job_;
};

using SchedulerAction = std::variant<PrepareTask, StartTask, CheckpointTask, StopTask, ThrottleTask, RecordJob, OfferJob>;

}
