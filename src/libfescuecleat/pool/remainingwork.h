#pragma once

#include "pool/job.h"
#include "pool/poolworkerstate.h"
#include "pool/taskrun.h"

#include <map>
#include <set>
#include <string>

namespace fescuecleat {

/** Converts resources and time into pool-seconds: one is what the whole pool does in a second. */
class PoolShare {
public:
    /** Sums the workers that take new work. */
    PoolShare(const std::map<WorkerKey, PoolWorkerState>&, const std::set<std::string>& closedDataCentres);

    explicit PoolShare(const Resources& total)
        : total_(total)
    {
    }

    const Resources& total() const { return total_; }
    /** Whether any worker takes new work. */
    bool isKnown() const { return total_.cpuMillis_ > 0 || total_.memoryMb_ > 0 || total_.accelerators_ > 0; }
    /** The dominant share: the largest of the shares of processors, memory and accelerators. */
    double of(const Resources&) const;
    /** Estimated pool-seconds of all tasks of one occurrence of the job. */
    double wholeWork(const PoolJobSpec&) const;

private:
    Resources total_;
};

/** Estimated seconds until a run in progress ends. */
double remainingSeconds(const TaskRun&, Duration estimate, Time now);

/** What is left of a job, from the estimates of its submitter. */
struct RemainingWork {
    /** Pool-seconds of the units that wait, of steps that wait for others as well. */
    double waitingWork_ = 0;
    /** Share of the pool that the units would take that could start now. */
    double readyShare_ = 0;
    /** Longest chain of dependent steps that aren't done; for a single step in progress, only what waits counts. */
    Duration criticalPath_ {};
};

RemainingWork remainingWork(const Job&, const PoolShare&, Time now);

}
