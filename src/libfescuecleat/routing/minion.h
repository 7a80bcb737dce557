#pragma once

#include "base/id.h"
#include "settings/settings.h"

#include <tuple>

namespace fescuecleat {

/** A back end of a service, as contained in the instance list. */
struct Minion {
    MinionId id_;
    DataCentreId dataCentre_;
    Address address_;
    bool isLeaving_ = false;

    bool operator==(const Minion& other) const
    {
        return std::tie(id_, dataCentre_, address_, isLeaving_) == std::tie(other.id_, other.dataCentre_, other.address_, other.isLeaving_);
    }
    bool operator!=(const Minion& other) const { return !(*this == other); }
};

}
