#pragma once

#include "base/time.h"

#include <cstddef>
#include <vector>

namespace fescuecleat {

/** Work in progress: it occupies a share of the pool until it ends. */
struct OverloadRun {
    int rank_ = 0;
    /** Share of the pool, from 0 to 1. */
    double share_ = 0;
    double secondsLeft_ = 0;
};

/** An open job with waiting work. Work is measured in pool-seconds: one is what the whole pool does in a second. */
struct OverloadJob {
    /** As in SchedulingPass: lower values come first. */
    int rank_ = 0;
    /** Latest completion that is still in time. */
    Time due_ {};
    /** Estimated work of the units that have not started. */
    double waitingWork_ = 0;
    /** Estimated work of the job as submitted. */
    double wholeWork_ = 0;
    /** Time that the rest of the job takes if nothing delays it. */
    Duration shortestRest_ {};
    /** False for jobs within a guarantee and for those whose postponement has reached its bound. */
    bool mayBePostponed_ = true;
    /** The last plan postponed the job. */
    bool wasPostponed_ = false;
};

struct OverloadInput {
    Time now_ {};
    /** Pool-seconds of work that the pool does in a second while work waits. */
    double rate_ = 1;
    std::vector<OverloadRun> runs_;
    std::vector<OverloadJob> jobs_;
};

/**
 * Returns the indexes of the jobs that are postponed because the pool can't complete all jobs in time, in ascending
 * order. Jobs are added by rank and due time; when the work due by a time exceeds what the pool can do until then,
 * the jobs are postponed whose delay costs callers least for the capacity that is short. Empty if all jobs can be in time.
 */
std::vector<std::size_t> planOverload(const OverloadInput&);

}
