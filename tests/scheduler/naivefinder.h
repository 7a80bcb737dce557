#pragma once

#include "scheduler/placementfinder.h"

namespace fescuecleat {

/** Looks at every worker each time and tries every group; slow and plain. */
class NaiveFinder : public PlacementFinder {
public:
    std::optional<Placement> findFree(const FreeQuery&, WorkerTable&) override;
    std::unique_ptr<PlacementFinder> fresh() const override { return std::make_unique<NaiveFinder>(); }
};

}
