#pragma once

#include "pool/placementview.h"
#include "pool/poolstate.h"

#include <optional>
#include <vector>

namespace fescuecleat {

/** Capacity that is expected to become free because units end by themselves, as of one scheduling pass. */
class FreeingCapacity {
public:
    FreeingCapacity(PoolState&, const PlacementView&, Time now);

    /**
     * Finds the placement that is possible soonest with capacity that becomes free until the given time,
     * beside the projected capacity. Nothing if the request doesn't fit by then.
     */
    std::optional<PlacementView::Placement> find(PlacementView&, const PlacementRequest&, Time until) const;
    /** Adds to a view's projected capacity what becomes free until the given time. */
    void add(PlacementView&, Time until) const;
    /** Reverts add(). */
    void withdraw(PlacementView&, Time until) const;
    /** Drops a unit that is being stopped: its resources are projected capacity now. */
    void forget(const Job&, const UnitId&);

private:
    struct Room {
        Time freeAt_;
        const Job* job_;
        UnitId unit_;
        const PoolWorkerState* worker_;
        Resources resources_;
    };

    Time now_;
    /** In order of time. */
    std::vector<Room> rooms_;
};

}
