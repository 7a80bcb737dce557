#pragma once

#include "load/experiment.h"
#include "load/mix.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuecleat {

/** A request to send, with its offset from the start of the repeat. */
struct PlannedRequest {
    Duration at_ { 0 };
    /** Index of the organisation in the testbed. */
    std::size_t organisation_ = 0;
    std::string tag_;
    std::string kind_;
    std::string body_;
    /** From the intended send time to the deadline. */
    Duration timeout_ { 0 };
    bool isIdempotent_ = true;
};

/** A job to submit, with its offset from the start of the repeat. */
struct PlannedJob {
    Duration at_ { 0 };
    std::size_t organisation_ = 0;
    std::string tag_;
    /** Idempotency key, shape, declared run time and payload. */
    JobSpec spec_;
};

/** All arrivals of one repeat, sorted by time. */
struct ArrivalPlan {
    std::vector<PlannedRequest> requests_;
    std::vector<PlannedJob> jobs_;
};

/**
 * Draws the arrivals as Poisson streams whose rate follows the bursts. The same
 * seed gives the same plan. Tags begin with `prefix`, which distinguishes the
 * logs of different repeats.
 */
ArrivalPlan planArrivals(const Experiment&, const Mix&, std::size_t organisations, std::uint64_t seed, const std::string& prefix);

}
