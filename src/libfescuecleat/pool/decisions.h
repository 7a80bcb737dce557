#pragma once

#include "base/time.h"
#include "pool/limitchange.h"
#include "pool/taskcrashes.h"
#include "pool/taskid.h"
#include "pool/unitid.h"
#include "pool/workerinfo.h"

#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/** A run to start once the job's record is stored. */
struct StartDecision {
    RunId run_;
    WorkerKey worker_;
    std::string checkpoint_;
};

/** A run to stop immediately. */
struct StopDecision {
    RunId run_;
    WorkerKey worker_;
    std::string cause_;
};

/** A run that was given up, since it can no longer be active on its worker. */
struct LostRun {
    RunId run_;
    WorkerKey worker_;
    std::string cause_;
};

/** A run that a worker may have been executing when it crashed. */
struct InterruptedRun {
    RunId run_;
    UnitId unit_;
    Time startedAt_ {};
    /** The worker has shown that it had received the start. */
    bool isConfirmed_ = false;
    bool hasSurvivedStart_ = false;
};

/** An incarnation of a worker that ended without having announced to leave. */
struct WorkerCrash {
    WorkerKey worker_;
    std::string machine_;
    /** When it stopped answering, as far as is known. */
    Time silentSince_ {};
    /** Workers on which nothing was starting fell silent at the same time. */
    bool hasOtherCause_ = false;
    std::vector<InterruptedRun> runs_;
};

/** A task that was found to crash the workers that start it. */
struct DeadlyTask {
    TaskId task_;
    TaskCrashes crashes_;
};

/** A run that may be active on the next incarnation of its worker, and counts as a run there. */
struct MovedRun {
    RunId run_;
    WorkerKey former_;
    WorkerKey current_;
};

/** A job that was postponed for the first time. */
struct PostponedJob {
    std::string job_;
    std::string queue_;
    std::string organisation_;
    /** Estimated pool-seconds of its waiting work and of that of all jobs. */
    double work_ = 0;
    double backlogWork_ = 0;
    /** Pool-seconds that the pool does in a second. */
    double rate_ = 0;
};

/** Actions that the scheduler requests from its owner, and changes of its beliefs for the log. */
struct Decisions {
    /** Jobs whose records must be stored before the starts are sent. */
    std::set<std::string> changedJobs_;
    std::vector<StartDecision> starts_;
    std::vector<StopDecision> stops_;
    std::vector<LostRun> lostRuns_;
    std::vector<MovedRun> movedRuns_;
    std::vector<WorkerCrash> crashes_;
    std::vector<DeadlyTask> deadlyTasks_;
    std::vector<PostponedJob> postponedJobs_;
    std::vector<LimitChange> limitChanges_;

    bool isEmpty() const { return changedJobs_.empty() && starts_.empty() && stops_.empty(); }
};

}
