#pragma once

#include "base/time.h"
#include "pool/taskid.h"
#include "pool/taskrun.h"
#include "pool/workerhealth.h"
#include "pool/workerinfo.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/** The scheduler's view of one incarnation of a worker. */
struct PoolWorkerState {
    WorkerInfo info_;
    /** Listed in the registry. */
    bool isListed_ = true;
    /** The registry has described this incarnation; until then, `info_` is what the former one was. */
    bool isDescribed_ = true;
    /** The last request to the worker was answered. */
    bool isReachable_ = false;
    /** When the worker stopped answering; unset while it answers, and before it first did. */
    std::optional<Time> silentSince_;
    /** Resources of all runs that may be on the worker, including those being stopped. */
    Resources used_;
    /** The part of `used_` that is being stopped. */
    Resources stopping_;
    /** The part of `used_` by tasks that run until their job is cancelled, except those being stopped. */
    Resources lasting_;
    /** Runs that the last report listed and the scheduler has no record of. */
    std::vector<RunId> unrecordedRuns_;
    /** Resources of these runs. */
    Resources unrecorded_;
    std::set<RunId> runs_;
    /** Those that have not been seen at work for some time after their start. */
    std::set<RunId> startingRuns_;
    /** Those of `startingRuns_` that are suspected to crash the worker. */
    std::set<RunId> probes_;
    /** When the newest worker before it on its machine crashed. */
    Time lastCrashAt_ {};
    /** Sequence number of the last processed end. */
    std::int64_t lastProcessedEnd_ = 0;
    /** When the newest report was requested. */
    Time lastReportRequestedAt_ {};
    WorkerHealth health_;
    /** Earliest time at which a draining worker may be gone. */
    Time leavesAt_ {};

    /** Adds what a run occupies. */
    void addAllocation(const TaskRun&);
    /** Reverts addAllocation(). */
    void removeAllocation(const TaskRun&);
    /** The machine that the worker runs on, or the worker if the registry doesn't tell. */
    const std::string& machine() const { return info_.machine_.empty() ? info_.key_.id_ : info_.machine_; }
    /** Whether the worker is known, stays, and is in a data centre that takes new work. */
    bool takesNewWork(const std::set<std::string>& closedDataCentres) const
    {
        return isListed_ && isDescribed_ && !info_.isDraining_ && closedDataCentres.count(info_.dataCentre_) == 0;
    }
};

}
