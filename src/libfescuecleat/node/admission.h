#pragma once

#include "pool/backlog.h"
#include "pool/job.h"

#include <cstdint>
#include <optional>
#include <string>

namespace fescuecleat {

/** A job that was just submitted, and what its organisation is guaranteed. */
struct AdmissionRequest {
    std::string id_;
    const PoolJobSpec* spec_ = nullptr;
    const JobPolicy* policy_ = nullptr;
    std::int64_t guaranteedAccelerators_ = 0;
};

/** Why a job is refused, and when the caller may try again. */
struct AdmissionRefusal {
    /** Lower bound of the seconds until the job could end. */
    double endsInSeconds_ = 0;
    /** Seconds until its credit expires. */
    double expiresInSeconds_ = 0;
    /** Whole seconds, at least 1. */
    std::int64_t retryAfterSeconds_ = 1;
};

/**
 * Decides whether a job is refused because it would certainly end after its credit has expired. `age` is how old
 * the backlog is at most; work may have been done meanwhile.
 */
std::optional<AdmissionRefusal> refuseHopeless(const AdmissionRequest&, const Backlog&, Duration age);

}
