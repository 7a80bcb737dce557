#pragma once

#include "pool/poolstate.h"

#include <vector>

namespace fescuecleat {

/**
 * Tells which tasks crash the workers that start them. A task is suspected if a worker crashed
 * while it was starting there, and no worker without a starting task fell silent at that time. Suspected
 * tasks are placed apart from other starts, so that the next crash has one possible cause.
 */
class CrashReview {
public:
    CrashReview(PoolState&, Time now);

    /** Counts the crash of an incarnation of a worker; returns the tasks that are found to crash workers. */
    std::vector<TaskId> workerCrashed(const WorkerKey&);
    /** Remembers the runs of a silent worker whose leases have expired, which may have crashed. */
    void workerLapsed(const WorkerKey&);
    /** Counts crashes of silent workers that this worker replaces; returns the tasks that are found to crash workers. */
    std::vector<TaskId> workerAppeared(const WorkerInfo&);

private:
    WorkerCrash interruptionOf(const PoolWorkerState&) const;
    std::vector<TaskId> count(WorkerCrash);
    bool hasOtherCause(Time silentSince) const;
    bool isDeadly(const TaskCrashes&, bool isOnlySuspect) const;

    PoolState& state_;
    Time now_;
};

}
