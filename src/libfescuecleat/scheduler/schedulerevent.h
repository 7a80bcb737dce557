#pragma once

#include "base/id.h"
#include "base/time.h"
#include "scheduler/jobspec.h"
#include "scheduler/taskkey.h"
#include "scheduler/taskstate.h"
#include "scheduler/worker.h"
#include "settings/configuration.h"
#include "state/jobstate.h"

#include <string>
#include <variant>
#include <vector>

namespace fescuecleat {

/** A configuration version became active in this data centre. */
struct ConfigurationChanged {
    Configuration configuration_;
};

/** A job for this data centre, new or loaded from the job table. Repeated events for a known job are ignored. */
struct JobSubmitted {
    JobSpec spec_;
    Time submitted_;
    /** Number of earlier attempts, in all data centres. */
    int attempts_ = 0;
    /** Share of the work in the latest checkpoint, 0 to 1. */
    double checkpointedShare_ = 0;
    /** The recorded state. Placed, Prepared and Running jobs are adopted rather than placed again. */
    JobState state_ = JobState::Queued;
    /** The recorded workers, by task index. */
    std::vector<WorkerId> placement_;
    /** The recorded number of failed attempts. */
    int failures_ = 0;
};

struct JobCancelled {
    JobId job_;
};

/** Another data centre took the job over, or its row assigns it to another one: its tasks are stopped and the job is dropped. */
struct JobMoved {
    JobId job_;
};

/** A worker joined, came back or changed its capacity. */
struct WorkerJoined {
    WorkerId worker_;
    RackId rack_;
    WorkerCapacity capacity_;
};

/** The run permit of the worker has expired: none of its tasks can still run. */
struct WorkerLost {
    WorkerId worker_;
};

/**
 * End of a full report of a worker, sent after a TaskReported for each of its
 * tasks. A recorded task that the report omits under the current epoch doesn't
 * exist on the worker.
 */
struct WorkerReported {
    WorkerId worker_;
    /** All tasks in the report. */
    std::vector<TaskKey> tasks_;
};

/** State of one task, from a report of its worker or a response to a prepare, start or stop request. May be late, duplicated or out of order. */
struct TaskReported {
    TaskKey task_;
    WorkerId worker_;
    TaskState state_ = TaskState::Prepared;
    /** Why the task failed; empty otherwise. */
    std::string reason_;
    /** Positions of the allocated accelerators on the worker; used to rebuild the state after a failover. */
    std::vector<int> accelerators_;
    std::int64_t memoryBytes_ = 0;
    double processorShare_ = 0;
    /** Share of the work in the latest checkpoint, 0 to 1. */
    double checkpointedShare_ = 0;
};

/** The worker refused a prepare or start request, or never received it: the task doesn't run. */
struct TaskRefused {
    TaskKey task_;
    WorkerId worker_;
    std::string reason_;
};

/** Tasks may be started until `until_`. Earlier times than the current permit are ignored. */
struct StartPermitExtended {
    Time until_;
};

/** Operators took the data centre out of service; running work has to end by the deadline. */
struct DataCentreTakenOut {
    Time deadline_;
};

struct DataCentreReturned {
};

/** Time has passed: handle expired deadlines. */
struct Tick {
};

using SchedulerEvent = std::variant<ConfigurationChanged, JobSubmitted, JobCancelled, JobMoved, WorkerJoined, WorkerLost,
    WorkerReported, TaskReported, TaskRefused, StartPermitExtended, DataCentreTakenOut, DataCentreReturned, Tick>;

}
