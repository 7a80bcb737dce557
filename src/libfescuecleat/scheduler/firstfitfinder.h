#pragma once

#include "scheduler/placementfinder.h"

namespace fescuecleat {

/** Takes the first workers that fit, in the order in which they joined. */
class FirstFitFinder : public PlacementFinder {
public:
    std::optional<Placement> findFree(const JobEntry&, const WorkerTable&) override;
};

}
