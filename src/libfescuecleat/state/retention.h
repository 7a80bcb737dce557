#pragma once

#include "control/leasefence.h"
#include "platform/table.h"
#include "platform/writeids.h"
#include "state/jobrecord.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace fescuecleat {

/** Retention of ended jobs and their idempotency keys. */
struct RetentionPolicy {
    /** Time after delivery of the final state, during which a repeated submission still finds its job. */
    std::chrono::milliseconds deliveredRetention_ { std::chrono::hours(24) };
    /** Time after the end of a job whose final state was never fetched. */
    std::chrono::milliseconds undeliveredRetention_ { std::chrono::hours(24 * 30) };
    /** Jobs removed per transaction. */
    std::size_t batchSize_ = 50;
};

/** True if the job can be removed. Live jobs never expire. `wallClockMs` counts from 1970. */
bool isExpired(const JobRecord&, const RetentionPolicy&, std::int64_t wallClockMs);

/** Result of a retention round. */
struct RetentionCounts {
    std::size_t kept_ = 0;
    std::size_t removed_ = 0;
    /** Removed without ever having been fetched; included in removed_. */
    std::size_t removedUndelivered_ = 0;
};

/**
 * Removes the expired jobs of a data centre with their idempotency keys and
 * remaining cancellations. Called by the lease holder only and fenced by its
 * lease. Errors: Unavailable, OutcomeUnknown, Conflict; a later round removes
 * the rest.
 */
Result<RetentionCounts> removeExpired(Table&, WriteIds&, const LeaseFence&, const RetentionPolicy&, std::int64_t wallClockMs, Time deadline);

}
