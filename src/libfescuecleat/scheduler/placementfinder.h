#pragma once

#include "scheduler/jobentry.h"
#include "scheduler/slotfill.h"
#include "scheduler/workertable.h"

#include <memory>
#include <optional>
#include <set>

namespace fescuecleat {

/** What a gang asks of capacity that is free now. */
struct FreeQuery {
    GangDemand demand_;
    /** Workers that may not be used. */
    std::set<int> avoided_;
    /** True for work that can't be resumed: it stays out of guaranteed cells. */
    bool avoidsGuaranteed_ = false;
};

/** Finds places for whole gangs on capacity that is free now. */
class PlacementFinder {
public:
    virtual ~PlacementFinder() = default;

    virtual std::optional<Placement> findFree(const FreeQuery&, WorkerTable&) = 0;
    /** A finder of the same kind for a copy of the table. */
    virtual std::unique_ptr<PlacementFinder> fresh() const = 0;
};

/** The room that is free on a worker for tasks of a shape; unusable workers have none. */
Slot freeSlot(const WorkerState&, const TaskShape&, bool avoidsGuaranteed);

/** True if nothing holds the places and their workers have the processors and the memory. */
bool fitsNow(const Placement&, const TaskShape&, const WorkerTable&);

/** What a job asks for. */
FreeQuery freeQueryOf(const JobEntry&);

}
