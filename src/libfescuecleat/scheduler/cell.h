#pragma once

#include <cstdint>
#include <tuple>

namespace fescuecleat {

/** Levels of the cell hierarchy, smallest first. A rack's size depends on its workers. */
enum class CellLevel {
    Accelerator,
    Pair,
    Quad,
    Worker,
    Rack,
};

/** Stable name of a level in settings and answers: accelerator, pair, quad, worker, rack. */
const char* cellLevelName(CellLevel);

/** A count of cells of one level; guarantees are lists of these. */
struct CellCount {
    CellLevel level_ = CellLevel::Accelerator;
    int count_ = 0;

    bool operator==(const CellCount& other) const { return std::tie(level_, count_) == std::tie(other.level_, other.count_); }
    bool operator!=(const CellCount& other) const { return !(*this == other); }
    bool operator<(const CellCount& other) const { return std::tie(level_, count_) < std::tie(other.level_, other.count_); }
};

}
