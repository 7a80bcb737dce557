#pragma once

#include "scheduler/placementfinder.h"

namespace fescuecleat {

/** Reference implementation without an index: scans every worker and every group for each query. */
class NaiveFinder : public PlacementFinder {
public:
    std::optional<Placement> findFree(const FreeQuery&, WorkerTable&) override;
    std::unique_ptr<PlacementFinder> cloneEmpty() const override { return std::make_unique<NaiveFinder>(); }
};

}
