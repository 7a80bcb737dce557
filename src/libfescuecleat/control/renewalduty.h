#pragma once

#include "base/time.h"
#include "control/controltiming.h"

#include <algorithm>
#include <optional>

namespace fescuecleat {

/**
 * Whether an instance that isn't the holder renews the run permits of its data
 * centre's workers. It does once it has heard neither the holder nor the table
 * for a while, so that the holder's death during a store outage stops nothing.
 * Pure.
 */
class RenewalDuty {
public:
    explicit RenewalDuty(const ControlTiming& timing = {})
        : timing_(timing)
    {
    }

    /** A message of the holder, or an answer of the table, arrived. */
    void heard(Time receivedAt) { heardAt_ = std::max(heardAt_.value_or(receivedAt), receivedAt); }

    bool mayRenewAt(Time now) const
    {
        // An instance that never heard anything is not on the holder's list yet.
        if (!heardAt_)
            return false;
        return now >= *heardAt_ + timing_.renewalSilence_ && now < *heardAt_ + timing_.unconfirmedRenewal_;
    }

private:
    ControlTiming timing_;
    std::optional<Time> heardAt_;
};

}
