#pragma once

#include "scheduler/jobentry.h"
#include "scheduler/taskplace.h"
#include "scheduler/workertable.h"

#include <optional>

namespace fescuecleat {

/** Finds places for whole gangs. */
class PlacementFinder {
public:
    virtual ~PlacementFinder() = default;

    /** A place on capacity that is free now, or nothing. */
    virtual std::optional<Placement> findFree(const JobEntry&, const WorkerTable&) = 0;
};

}
