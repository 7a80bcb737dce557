#pragma once

#include "base/id.h"
#include "base/time.h"
#include "scheduler/workertable.h"

#include <map>
#include <set>

namespace fescuecleat {

/**
 * Attributes task failures to jobs or workers. A job that fails on two distinct
 * workers is the more likely cause, so its failures no longer count against the
 * workers. A worker on which several distinct jobs fail without a success in
 * between is quarantined, and returns on probation.
 */
class WorkerHealthTracker {
public:
    void failed(const JobId&, int worker, WorkerTable&, Time now);
    void finished(int worker, WorkerTable&);
    /** Drops the failure history of an ended job. */
    void forget(const JobId&);
    /** Moves workers whose quarantine has expired to probation. */
    void releaseDue(WorkerTable&, Time now);
    /** When the next quarantine expires; Time::max() if there is none. */
    Time nextRelease() const;

private:
    struct FailureHistory {
        std::set<JobId> failedJobs_;
        Time quarantinedUntil_ = Time::max();
        /** Consecutive quarantines; each doubles the duration of the next. */
        int consecutiveQuarantines_ = 0;
    };

    void quarantine(int worker, FailureHistory&, WorkerTable&, Time now);

    std::map<int, FailureHistory> workers_;
    std::map<JobId, std::set<int>> failedWorkers_;
};

}
