#pragma once

#include "base/time.h"
#include "pool/jobpolicy.h"
#include "pool/pooljobspec.h"
#include "pool/pooljobstate.h"
#include "pool/workprogress.h"

#include <set>
#include <string>

namespace fescuecleat {

/** A job with its progress. */
struct Job {
    std::string id_;
    PoolJobSpec spec_;
    JobPolicy policy_;
    Time submittedAt_ {};
    PoolJobState state_ = PoolJobState::Queued;
    WorkProgress progress_;
    /** Workers on which runs failed. */
    std::set<WorkerKey> failedOn_;
    /** A worker has started one of its tasks, as far as this scheduler knows. */
    bool hasBegun_ = false;
    /** A run has progressed or succeeded. */
    bool hasHealthyRun_ = false;
    /** Jobs that its organisation had submitted within the window of the rate, itself included; 0 until the next pass. */
    int submissionsInWindow_ = 0;
    /** Latest completion that still earns full credit. */
    Time targetCompletion_ {};
    /** A completion after this time earns no credit. */
    Time creditExpiry_ {};

    const StepSpec& step(int index) const { return spec_.steps_[static_cast<std::size_t>(index)]; }
    const StepSpec& step(const WorkUnit& unit) const { return step(unit.id_.step_); }
    /** How often the steps run. */
    int occurrences() const { return spec_.isTimed() ? spec_.occurrences_ : 1; }
    /** The object of a unit, which must exist; see WorkProgress::find. */
    WorkUnit& unit(const UnitId& id) { return *progress_.find(id); }
    const WorkUnit& unit(const UnitId& id) const { return *progress_.find(id); }
    /** The job seems to fail on all workers: it has failed on several and no run was healthy. */
    bool isSuspect() const;
    /** Crashes of workers under one of its tasks. */
    TaskCrashes crashesOf(const TaskId&) const;
    /** Whether the job has a completion to be in time for: it neither recurs nor runs until it is cancelled. */
    bool hasTarget() const;
    /** Whether a step runs until the job is cancelled. */
    bool isLasting() const;
    bool isOpen() const { return !isFinal(state_); }
    /** Length of the longest chain of dependent steps, from their estimates. */
    Duration criticalPath() const;
    /** Accelerators that the widest step uses at once. */
    std::int64_t peakAccelerators() const;
    /** Computes the times that depend on the job's submission, specification and policy. */
    void computeTargets();
};

}
