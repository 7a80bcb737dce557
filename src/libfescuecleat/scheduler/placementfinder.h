#pragma once

#include "scheduler/jobentry.h"
#include "scheduler/slotfill.h"
#include "scheduler/workertable.h"

#include <memory>
#include <optional>
#include <set>

namespace fescuecleat {

/** Request for a placement of a gang on free capacity. */
struct FreeQuery {
    GangDemand demand_;
    /** Indices of workers that must not be used. */
    std::set<int> excludedWorkers_;
    /** True for non-idempotent work, which must not borrow guaranteed cells because it could not be restarted after a reclaim. */
    bool excludesGuaranteed_ = false;
};

/** Finds placements for whole gangs on free capacity. */
class PlacementFinder {
public:
    virtual ~PlacementFinder() = default;

    /** A placement for the whole gang; empty if there is none. */
    virtual std::optional<Placement> findFree(const FreeQuery&, WorkerTable&) = 0;
    /** A finder of the same type without cached state, for use with a copy of the worker table. */
    virtual std::unique_ptr<PlacementFinder> cloneEmpty() const = 0;
};

/** Free capacity of a worker for tasks of a shape; an unusable worker takes no tasks. */
Slot freeSlot(const WorkerState&, const TaskShape&, bool excludesGuaranteed);

/** True if the accelerators of the placement are free and its workers have enough free processors and memory. */
bool fitsNow(const Placement&, const TaskShape&, const WorkerTable&);

/** The query for the placement of a job. */
FreeQuery freeQueryOf(const JobEntry&);

}
