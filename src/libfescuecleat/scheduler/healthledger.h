#pragma once

#include "base/id.h"
#include "base/time.h"
#include "scheduler/workertable.h"

#include <map>
#include <set>

namespace fescuecleat {

/**
 * Divides the blame for failed tasks between jobs and workers. A job that fails
 * on two distinct workers is the likelier cause, so its failures are taken off
 * the workers. A worker on which several other jobs failed, without a success
 * in between, is put in quarantine, and comes back on probation.
 */
class HealthLedger {
public:
    void failed(const JobId&, int worker, WorkerTable&, Time now);
    void finished(int worker, WorkerTable&);
    /** Forgets an ended job. */
    void forget(const JobId&);
    /** A lost worker that returns starts afresh on probation if it was in quarantine. */
    void releaseDue(WorkerTable&, Time now);
    Time nextRelease() const;

private:
    struct Health {
        std::set<JobId> suspects_;
        Time quarantinedUntil_ = Time::max();
        /** Quarantines in a row; each doubles the time. */
        int quarantines_ = 0;
    };

    void quarantine(int worker, Health&, WorkerTable&, Time now);

    std::map<int, Health> workers_;
    std::map<JobId, std::set<int>> failedOn_;
};

}
