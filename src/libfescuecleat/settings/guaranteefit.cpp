#include "settings/guaranteefit.h"

#include <array>
#include <map>

namespace fescuecleat {

namespace {

    /** A cell level within one worker and its size. */
    struct Level {
        CellLevel level_;
        int accelerators_;
    };

    constexpr std::array<Level, 3> levelsWithinWorker { { { CellLevel::Quad, 4 }, { CellLevel::Pair, 2 }, { CellLevel::Accelerator, 1 } } };

    std::map<CellLevel, int> countByLevel(const std::vector<CellCount>& guaranteed)
    {
        std::map<CellLevel, int> counts;
        for (const CellCount& cells : guaranteed)
            counts[cells.level_] += cells.count_;
        return counts;
    }

}

std::optional<GuaranteeShortfall> findShortfall(const DataCentreCapacity& capacity, const std::vector<CellCount>& guaranteed)
{
    std::map<CellLevel, int> requested = countByLevel(guaranteed);
    const int racks = requested[CellLevel::Rack];
    if (racks > capacity.fullRacks())
        return GuaranteeShortfall { CellLevel::Rack, racks, capacity.fullRacks() };

    const int availableWorkers = capacity.workers_ - racks * capacity.workersPerRack_;
    const int workers = requested[CellLevel::Worker];
    if (workers > availableWorkers)
        return GuaranteeShortfall { CellLevel::Worker, workers, availableWorkers };

    // Each unused cell of one level is split into two cells of the next smaller level.
    const int freeWorkers = availableWorkers - workers;
    int availableCells = 0;
    int remainingAccelerators = capacity.acceleratorsPerWorker_;
    for (const Level& level : levelsWithinWorker) {
        availableCells = 2 * availableCells + freeWorkers * (remainingAccelerators / level.accelerators_);
        remainingAccelerators %= level.accelerators_;
        const int requestedCells = requested[level.level_];
        if (requestedCells > availableCells)
            return GuaranteeShortfall { level.level_, requestedCells, availableCells };
        availableCells -= requestedCells;
    }
    return std::nullopt;
}

}
