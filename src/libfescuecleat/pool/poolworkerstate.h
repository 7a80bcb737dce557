#pragma once

#include "base/time.h"
#include "pool/taskid.h"
#include "pool/workerinfo.h"

#include <set>

namespace fescuecleat {

/** What the scheduler believes of one life of a worker. */
struct PoolWorkerState {
    WorkerInfo info_;
    /** The registry lists it. */
    bool isListed_ = true;
    /** It answered lately. */
    bool isReachable_ = false;
    /** Room of everything that may be there, also of what is being stopped. */
    Resources used_;
    /** The part of `used_` that is being stopped. */
    Resources stopping_;
    std::set<RunId> runs_;
    /** Ends up to this number are taken over. */
    std::int64_t processedEnds_ = 0;
    /** When the worker was asked for its newest report. */
    Time lastReportAskedAt_ {};
    /** Runs that failed here since one ended well. */
    int failuresInARow_ = 0;
    Time avoidedUntil_ {};
    /** While draining: the worker may be gone from then on. */
    Time leavesAt_ {};
};

}
