#pragma once

#include "base/time.h"
#include "control/controltiming.h"

#include <algorithm>
#include <optional>

namespace fescuecleat {

/**
 * Decides whether an instance that does not hold the lease renews the run
 * permits of the workers of its data centre. It does after a time without
 * contact to the lease holder and the table, so that running tasks survive the
 * failure of the holder during an outage of the table. Reads no clock and does
 * no I/O.
 */
class FallbackRenewal {
public:
    explicit FallbackRenewal(const ControlTiming& timing = {})
        : timing_(timing)
    {
    }

    /** A message of the lease holder or an answer of the table arrived. */
    void noteContact(Time receivedAt) { lastContactAt_ = std::max(lastContactAt_.value_or(receivedAt), receivedAt); }

    bool mayRenewAt(Time now) const
    {
        // Without any contact yet, the holder doesn't list this instance and doesn't wait for its renewals.
        if (!lastContactAt_)
            return false;
        return now >= *lastContactAt_ + timing_.fallbackRenewalDelay_ && now < *lastContactAt_ + timing_.maxFallbackRenewal_;
    }

private:
    ControlTiming timing_;
    std::optional<Time> lastContactAt_;
};

}
