#pragma once

#include "base/error.h"
#include "scheduler/cell.h"
#include "settings/datacentrecapacity.h"

#include <optional>
#include <vector>

namespace fescuecleat {

/** A cell level at which guarantees request more cells than are available. */
struct GuaranteeShortfall {
    CellLevel level_ = CellLevel::Accelerator;
    int requested_ = 0;
    /** Cells of this level that remain after the guarantees of larger levels. */
    int available_ = 0;
};

/**
 * Checks whether all guarantees fit into a data centre at the same time and
 * returns the largest level that doesn't; nullopt if all fit. Larger cells are
 * allocated first. This greedy order is exact because two cells of the
 * hierarchy are either nested or disjoint.
 */
std::optional<GuaranteeShortfall> findShortfall(const DataCentreCapacity&, const std::vector<CellCount>& guaranteed);

}
