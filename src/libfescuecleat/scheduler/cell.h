#pragma once

#include <cstdint>
#include <tuple>

namespace fescuecleat {

/** Levels of the cell hierarchy, smallest first. The size of a rack depends on its workers. */
enum class CellLevel {
    Accelerator,
    Pair,
    Quad,
    Worker,
    Rack,
};

/** Name of a level in settings and API responses: accelerator, pair, quad, worker or rack. */
const char* cellLevelName(CellLevel);

/** Number of cells of one level. A guarantee is a list of these. */
struct CellCount {
    CellLevel level_ = CellLevel::Accelerator;
    int count_ = 0;

    bool operator==(const CellCount& other) const { return std::tie(level_, count_) == std::tie(other.level_, other.count_); }
    bool operator!=(const CellCount& other) const { return !(*this == other); }
    bool operator<(const CellCount& other) const { return std::tie(level_, count_) < std::tie(other.level_, other.count_); }
};

}
