#pragma once

#include "load/experiment.h"
#include "load/mix.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuecleat {

/** A request that is to be sent. */
struct PlannedRequest {
    Duration at_ { 0 };
    /** Position of the organisation in the testbed. */
    std::size_t organisation_ = 0;
    std::string tag_;
    std::string kind_;
    std::string body_;
    Duration patience_ { 0 };
    bool isIdempotent_ = true;
};

/** A job that is to be submitted. */
struct PlannedJob {
    Duration at_ { 0 };
    std::size_t organisation_ = 0;
    std::string tag_;
    /** Idempotency key, shape, declared run time and payload. */
    JobSpec spec_;
};

/** Everything that arrives in one repeat, in order of time. */
struct ArrivalPlan {
    std::vector<PlannedRequest> requests_;
    std::vector<PlannedJob> jobs_;
};

/**
 * Draws the arrivals: Poisson streams whose rate follows the bursts. The same
 * seed gives the same plan; tags begin with `prefix`, so that the logs of two
 * repeats are told apart.
 */
ArrivalPlan planArrivals(const Experiment&, const Mix&, std::size_t organisations, std::uint64_t seed, const std::string& prefix);

}
