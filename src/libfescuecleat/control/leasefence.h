#pragma once

#include "base/id.h"

#include <cstdint>
#include <tuple>

namespace fescuecleat {

/**
 * Fencing token of a scheduler lease. The lease row is written once an epoch
 * and not by renewals, so a write that is conditional on its version succeeds
 * only in the newest epoch.
 */
struct LeaseFence {
    DataCentreId dataCentre_;
    std::uint64_t epoch_ = 0;
    /** Version of the lease row that holds this epoch. */
    std::uint64_t rowVersion_ = 0;

    bool operator==(const LeaseFence& other) const
    {
        return std::tie(dataCentre_, epoch_, rowVersion_) == std::tie(other.dataCentre_, other.epoch_, other.rowVersion_);
    }
    bool operator!=(const LeaseFence& other) const { return !(*this == other); }
};

}
