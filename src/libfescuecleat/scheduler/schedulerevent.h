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

/** A configuration version took force in this data centre. */
struct ConfigurationChanged {
    Configuration configuration_;
};

/** A job of this data centre's queue, new or read back from the table. Told again it changes nothing. */
struct JobSubmitted {
    JobSpec spec_;
    Time submitted_;
    /** Attempts that were made before, in any data centre. */
    int attempts_ = 0;
    /** Share of the work that a checkpoint holds, 0 to 1. */
    double checkpointedShare_ = 0;
    /** The recorded state; Placed, Prepared and Running jobs are adopted, not placed again. */
    JobState state_ = JobState::Queued;
    /** The recorded workers of the gang by task index. */
    std::vector<WorkerId> placement_;
    /** The recorded count of failed attempts. */
    int failures_ = 0;
};

struct JobCancelled {
    JobId job_;
};

/** Another data centre took the job over, or the row says that it is not ours: its tasks are stopped and it is forgotten. */
struct JobMoved {
    JobId job_;
};

/** A worker joined or is known again. */
struct WorkerJoined {
    WorkerId worker_;
    RackId rack_;
    WorkerCapacity capacity_;
};

/** The run permit of the worker has certainly lapsed: nothing of ours runs there. */
struct WorkerLost {
    WorkerId worker_;
};

/**
 * The worker's whole report, after each task of it was told by TaskReported. A
 * recorded task that a worker doesn't name under the present epoch isn't there.
 */
struct WorkerReported {
    WorkerId worker_;
    /** Every task that the report names. */
    std::vector<TaskKey> tasks_;
};

/** One task's state, as its worker reported it or as it answered a prepare, start or stop. May come late, twice or out of order. */
struct TaskReported {
    TaskKey task_;
    WorkerId worker_;
    TaskState state_ = TaskState::Prepared;
    /** Why it failed; empty otherwise. */
    std::string reason_;
    /** Accelerators held, as positions on the worker; used when state is rebuilt. */
    std::vector<int> accelerators_;
    std::int64_t memoryBytes_ = 0;
    double processorShare_ = 0;
    /** Share of the work that the newest checkpoint holds, 0 to 1. */
    double checkpointedShare_ = 0;
};

/** A prepare or start was refused by the worker or never reached it: the task certainly doesn't run. */
struct TaskRefused {
    TaskKey task_;
    WorkerId worker_;
    std::string reason_;
};

/** Tasks may be started until `until_`; the permit only ever moves forward. */
struct StartPermitExtended {
    Time until_;
};

/** Operators took the data centre out; running work ends by the deadline. */
struct DataCentreTakenOut {
    Time deadline_;
};

struct DataCentreReturned {
};

/** Time passed; deadlines are looked at. */
struct Tick {
};

using SchedulerEvent = std::variant<ConfigurationChanged, JobSubmitted, JobCancelled, JobMoved, WorkerJoined, WorkerLost,
    WorkerReported, TaskReported, TaskRefused, StartPermitExtended, DataCentreTakenOut, DataCentreReturned, Tick>;

}
