#pragma once

#include "base/time.h"

#include <string>

namespace fescuecleat {

/** How the queue that accepted a job wants it treated. */
struct JobPolicy {
    std::string queue_;
    std::string service_;
    std::string organisation_;
    /** 0 comes first and may preempt others. */
    int priority_ = 0;
    /** Failed runs of a task, or of a gang, after which the job has failed. */
    int maxAttempts_ = 1;
    /** The objective is this many times the longest chain of work, and the latency target more. */
    double stretch_ = 1;
    Duration latencyTarget_ {};
    bool needsAdvice_ = false;
};

}
