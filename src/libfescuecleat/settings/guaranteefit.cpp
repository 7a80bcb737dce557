#include "settings/guaranteefit.h"

#include <array>
#include <map>

namespace fescuecleat {

namespace {

    /** A cell that lies within one worker. */
    struct Level {
        CellLevel level_;
        int accelerators_;
    };

    constexpr std::array<Level, 3> levelsWithinWorker { { { CellLevel::Quad, 4 }, { CellLevel::Pair, 2 }, { CellLevel::Accelerator, 1 } } };

    std::map<CellLevel, int> sumByLevel(const std::vector<CellCount>& guaranteed)
    {
        std::map<CellLevel, int> sums;
        for (const CellCount& cells : guaranteed)
            sums[cells.level_] += cells.count_;
        return sums;
    }

}

std::optional<GuaranteeShortfall> findShortfall(const DataCentreCapacity& capacity, const std::vector<CellCount>& guaranteed)
{
    std::map<CellLevel, int> asked = sumByLevel(guaranteed);
    const int racks = asked[CellLevel::Rack];
    if (racks > capacity.fullRacks())
        return GuaranteeShortfall { CellLevel::Rack, racks, capacity.fullRacks() };

    const int workersLeft = capacity.workers_ - racks * capacity.workersPerRack_;
    const int workers = asked[CellLevel::Worker];
    if (workers > workersLeft)
        return GuaranteeShortfall { CellLevel::Worker, workers, workersLeft };

    // Cells that are left of the level above, each of which gives two of the next.
    const int free = workersLeft - workers;
    int left = 0;
    int rest = capacity.acceleratorsPerWorker_;
    for (const Level& level : levelsWithinWorker) {
        left = 2 * left + free * (rest / level.accelerators_);
        rest %= level.accelerators_;
        const int wanted = asked[level.level_];
        if (wanted > left)
            return GuaranteeShortfall { level.level_, wanted, left };
        left -= wanted;
    }
    return std::nullopt;
}

}
