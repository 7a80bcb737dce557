#pragma once

#include "base/id.h"
#include "base/time.h"
#include "scheduler/jobspec.h"
#include "scheduler/taskkey.h"
#include "scheduler/taskstate.h"
#include "scheduler/worker.h"
#include "settings/configuration.h"

#include <string>
#include <variant>
#include <vector>

namespace fescuecleat {

/** A configuration version took force in this data centre. */
struct ConfigurationChanged {
    Configuration configuration_;
};

/** A job of this data centre's queue, new or read back from the table. */
struct JobSubmitted {
    JobSpec spec_;
    Time submitted_;
    /** Attempts that were made before, in any data centre. */
    int attempts_ = 0;
    /** Share of the work that a checkpoint holds, 0 to 1. */
    double checkpointedShare_ = 0;
};

struct JobCancelled {
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

/** One task's state, as its worker reported it. May come late, twice or out of order. */
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

using SchedulerEvent = std::variant<ConfigurationChanged, JobSubmitted, JobCancelled, WorkerJoined, WorkerLost,
    TaskReported, TaskRefused, StartPermitExtended, DataCentreTakenOut, DataCentreReturned, Tick>;

}
