#pragma once

#include "base/id.h"

#include <cstdint>
#include <tuple>

namespace fescuecleat {

/**
 * What a holder of a scheduler lease shows the table with its writes. The
 * lease row changes with every epoch and never by a renewal, so a condition on
 * its version lets through exactly the writes of the newest epoch.
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
