#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>

namespace fescuecleat {

/** Scheduling settings that a job takes from the queue that accepted it. */
struct JobPolicy {
    std::string queue_;
    std::string service_;
    std::string organisation_;
    /** 0 is the highest priority and may preempt others. */
    int priority_ = 0;
    /** The job fails after this many failed runs of a task or gang. */
    int maxAttempts_ = 1;
    /** Target completion time: the critical path times `stretch_`, plus `latencyTarget_`. */
    double stretch_ = 1;
    Duration latencyTarget_ {};
    bool needsAdvice_ = false;
    /** Version of the configuration that the settings come from. */
    std::uint64_t configurationVersion_ = 0;
};

}
