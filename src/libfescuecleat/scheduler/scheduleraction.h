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

/** Allocate devices for the task on the worker without starting it. */
struct PrepareTask {
    TaskKey task_;
    WorkerId worker_;
    /** Positions of the accelerators on the worker. */
    std::vector<int> accelerators_;
    TaskShape shape_;
};

/** Start a prepared task; must not be sent after the deadline. */
struct StartTask {
    TaskKey task_;
    WorkerId worker_;
    Time deadline_;
    /** True if an earlier request for the same start may have taken effect or still may. */
    bool mayHaveBeenSent_ = false;
};

/** Write a checkpoint, then stop. The task is killed at the deadline. */
struct CheckpointTask {
    TaskKey task_;
    WorkerId worker_;
    Time deadline_;
};

/** Stop the task immediately and release its devices. */
struct StopTask {
    TaskKey task_;
    WorkerId worker_;
};

/** Limit the task to its declared resources. */
struct ThrottleTask {
    TaskKey task_;
    WorkerId worker_;
};

/** Persist a job state change. The caller writes it before it carries out later actions of the same batch. */
struct RecordJob {
    JobId job_;
    JobState state_ = JobState::Queued;
    int attempt_ = 0;
    /** Workers by task index; empty unless the job is placed, prepared or running. */
    std::vector<WorkerId> placement_;
    double checkpointedShare_ = 0;
    /** Number of failed attempts; restored through JobSubmitted. */
    int failures_ = 0;
    /** Human-readable cause of the change; may be empty. */
    std::string reason_;
};

/** Offer the job to other data centres; no task of it can still run here. */
struct OfferJob {
    JobId job_;
};

using SchedulerAction = std::variant<PrepareTask, StartTask, CheckpointTask, StopTask, ThrottleTask, RecordJob, OfferJob>;

}
