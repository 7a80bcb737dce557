#pragma once

#include "pool/decisions.h"
#include "pool/job.h"
#include "pool/organisationusage.h"
#include "pool/overloadstate.h"
#include "pool/poolworkerstate.h"
#include "pool/preemptionaccount.h"
#include "pool/stopcosts.h"
#include "pool/submissionrates.h"
#include "pool/taskrun.h"
#include "pool/urgentdemand.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace fescuecleat {

/** A worker that stopped answering. */
struct WorkerSilence {
    Time since_ {};
    /** A run was starting on the worker, which may have crashed it. */
    bool hasStartingRun_ = false;
};

/** Jobs, workers and runs known to the pool scheduler, and its pending decisions. */
struct PoolState {
    std::map<std::string, Job> jobs_;
    std::map<WorkerKey, PoolWorkerState> workers_;
    std::map<RunId, TaskRun> runs_;
    /** Runs of each organisation. */
    std::map<std::string, std::size_t> runsByOrganisation_;
    /** Resources of the runs of each organisation, and their limits. */
    OrganisationUsage usage_;
    /** Organisations that waited because of their limits in the last pass. */
    std::map<std::string, LimitWait> limitWaits_;
    SubmissionRates submissions_;
    /** The most runs at a time, of all jobs. */
    std::size_t runLimit_ = std::numeric_limits<std::size_t>::max();
    std::set<std::string> closedDataCentres_;
    /** Accelerators guaranteed to each organisation. */
    std::map<std::string, std::int64_t> guarantees_;
    /** Jobs within their organisation's guarantee must start within this time. */
    Duration guaranteeLimit_ = std::chrono::milliseconds(2700);
    /** If unset, preemption and the review of health use fixed assumptions. */
    std::optional<StopCosts> stopCosts_;
    PreemptionAccount preemptionAccount_;
    /** When a unit that waits for capacity which becomes free by itself must be looked at again. */
    Time nextPreemptionReview_ = Time::max();
    UrgentDemand urgentDemand_;
    /** The headroom of a pass that ended early, for the one that continues it. */
    std::set<WorkerKey> headroom_;
    /** Accelerators held by the runs of urgent jobs. */
    std::int64_t urgentAccelerators_ = 0;
    /** Silences of workers that had not announced to leave, oldest first. */
    std::deque<WorkerSilence> silences_;
    /** Workers whose leases expired in silence; they have crashed if another worker shows up in their place. */
    std::deque<WorkerCrash> lapsedWorkers_;
    /** Workers have crashed lately for other causes than a task that was starting. */
    Time unrelatedCrashesUntil_ {};
    OverloadState overload_;
    Decisions decisions_;

    Job* findJob(const std::string& id);
    PoolWorkerState* findWorker(const WorkerKey&);

    void noteSilence(PoolWorkerState&, Time since);
    /** Notes that a run has been seen at work some time after its start. */
    void noteSurvivedStart(const RunId&, TaskRun&);
    /** Whether all runs of the unit were known to be at work at a time, as a gang works only once it is complete. */
    bool isAtWorkSince(WorkUnit&, Time) const;
    /** Starts a new run of a unit; `workers` holds one worker per task. */
    void place(Job&, UnitId, const std::vector<PoolWorkerState*>& workers, Time now);
    /** Adds a run that may be active on its worker, and occupies its resources there. */
    void addRun(const RunId&, TaskRun, Job&);
    /** Stops the open runs of a unit. A run whose start has not been sent to a worker ends at once. */
    void stopUnit(Job&, UnitId, const std::string& cause, Time now);
    /** Removes a worker that the registry doesn't list once nothing can run there any more. */
    void eraseWorkerIfGone(const WorkerKey&);
    /** Removes a run and releases its resources. */
    void releaseRun(const RunId&, Time now);
    /** Moves a run to another incarnation of its worker; a stop is decided again for it. */
    void rebindRun(const RunId&, TaskRun&, const WorkerKey&, Time now);
    /** Marks a run as stopping and adds a stop decision. */
    void stopRun(const RunId&, TaskRun&, const std::string& cause, Time now);
};

}
