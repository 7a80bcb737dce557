#pragma once

#include "base/error.h"
#include "scheduler/cell.h"
#include "settings/datacentrecapacity.h"

#include <optional>
#include <vector>

namespace fescuecleat {

/** A level of the hierarchy at which guarantees ask for more cells than are left. */
struct GuaranteeShortfall {
    CellLevel level_ = CellLevel::Accelerator;
    int asked_ = 0;
    /** Cells of the level that larger guarantees leave over. */
    int left_ = 0;
};

/**
 * Whether all guarantees fit side by side into a data centre: larger cells are
 * taken first, which is exact as cells of a hierarchy are either nested or
 * disjoint. Returns the largest level that doesn't fit.
 */
std::optional<GuaranteeShortfall> findShortfall(const DataCentreCapacity&, const std::vector<CellCount>& guaranteed);

}
