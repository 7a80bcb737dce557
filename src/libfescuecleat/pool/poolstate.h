#pragma once

#include "pool/decisions.h"
#include "pool/job.h"
#include "pool/poolworkerstate.h"
#include "pool/taskrun.h"
#include "pool/urgentdemand.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace fescuecleat {

/** Everything the scheduler of a pool knows, and what it wants done. */
struct PoolState {
    std::map<std::string, Job> jobs_;
    std::map<WorkerKey, PoolWorkerState> workers_;
    std::map<RunId, TaskRun> runs_;
    std::set<std::string> closedDataCentres_;
    /** Accelerators guaranteed to each organisation. */
    std::map<std::string, std::int64_t> guarantees_;
    UrgentDemand urgentDemand_;
    Decisions decisions_;

    Job* findJob(const std::string& id);
    PoolWorkerState* findWorker(const WorkerKey&);

    /** Gives a unit's tasks a new run on these workers, one a task. */
    void place(Job&, std::size_t unit, const std::vector<PoolWorkerState*>& workers, Time now);
    /** Stops what is out of a unit's run; a run that no worker was told of ends at once. */
    void stopUnit(Job&, std::size_t unit, const std::string& cause, Time now);
    /** Forgets a run and gives its room back. */
    void releaseRun(const RunId&, Time now);
    /** Moves a run to another life of its worker. */
    void rebindRun(const RunId&, TaskRun&, const WorkerKey&);
    /** Marks a run as being stopped and asks for the stop. */
    void stopRun(const RunId&, TaskRun&, const std::string& cause, Time now);
};

}
