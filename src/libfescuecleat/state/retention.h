#pragma once

#include "control/leasefence.h"
#include "platform/table.h"
#include "platform/writeids.h"
#include "state/jobrecord.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace fescuecleat {

/** How long ended jobs and their idempotency keys are kept. */
struct RetentionPolicy {
    /** After the caller had the final state wholly; a repeated submission finds its job that long. */
    std::chrono::milliseconds delivered_ { std::chrono::hours(24) };
    /** After the end, if the caller never fetched the final state. */
    std::chrono::milliseconds undelivered_ { std::chrono::hours(24 * 30) };
    /** Jobs that one transaction removes. */
    std::size_t batch_ = 50;
};

/** True if nothing need be kept of the job. Live jobs never expire. `wallClock` is in milliseconds since 1970. */
bool isExpired(const JobRecord&, const RetentionPolicy&, std::int64_t wallClock);

/** What one round of retention did. */
struct RetentionCounts {
    std::size_t kept_ = 0;
    std::size_t removed_ = 0;
    /** Removed although no caller ever fetched them. */
    std::size_t removedUndelivered_ = 0;
};

/**
 * Removes the expired jobs of a data centre, their keys and their leftover
 * cancellations. Only the holder does so, fenced by its lease. Errors:
 * Unavailable, OutcomeUnknown, Conflict; a later round removes the rest.
 */
Result<RetentionCounts> removeExpired(Table&, WriteIds&, const LeaseFence&, const RetentionPolicy&, std::int64_t wallClock, Time deadline);

}
