#pragma once

#include "pool/freeingcapacity.h"
#include "pool/limitpreemption.h"
#include "pool/placementview.h"
#include "pool/poolstate.h"
#include "pool/preemption.h"
#include "pool/stopcosts.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fescuecleat {

/** An urgent unit that fits neither into free capacity nor into that of runs which are being stopped. */
struct UrgentUnit {
    const Job& job_;
    UnitId unit_;
    int rank_;
    /** Within its organisation's guarantee. */
    bool isGuaranteed_;
    Time waitingSince_;
    /** The latest start that still meets the job's target; unset if the work has no target, as lasting tasks and scheduled occurrences. */
    std::optional<Time> latestStart_;
};

/** The latest start that meets a unit's target and its guarantee, as far as they can still be met. */
Time latestUsefulStart(const UrgentUnit&, const StopCosts&, Duration guaranteeLimit, Time now);

/**
 * Makes room for urgent units during one scheduling pass: reserves capacity that becomes free by
 * itself in time, or preempts work of lower rank. Weighs the cost of stopping, the time
 * until the capacity is free, and the unit's target if the state has StopCosts.
 */
class UrgentRoom {
public:
    UrgentRoom(PoolState&, PlacementView&, std::function<int(const Job&)> rankOf, Time now);

    /** Returns false if the unit gets no room. */
    bool reserve(const UrgentUnit&, const PlacementRequest&);
    /**
     * Stops less important runs of the unit's own organisation so that it fits the limit beside `reserved`, unless
     * enough of them are about to end. Returns false if no room can be made, or the unit would find no capacity then.
     */
    bool makeRoomWithinLimit(const UrgentUnit&, const PlacementRequest&, const Resources& reserved);

private:
    bool reserveAtCost(const StopCosts&, const UrgentUnit&, const PlacementRequest&);
    bool reserveFreeing(const PlacementRequest&, Time until);
    bool preempt(const UrgentUnit&, const PlacementRequest&);
    Preemption& preemption();
    /** Whether a plan of this cost loses more work than an urgent unit beyond the guarantee brings. */
    bool losesTooMuch(const UrgentUnit&, const PlacementRequest&, double cost) const;
    void stop(const std::vector<std::size_t>& victims, const std::string& cause);

    PoolState& state_;
    PlacementView& view_;
    std::function<int(const Job&)> rankOf_;
    Time now_;
    /** Both are built when first needed. */
    std::optional<Preemption> preemption_;
    std::optional<FreeingCapacity> freeing_;
    /** By organisation; valid until further runs are stopped. */
    std::map<std::string, LimitPreemption> limitPreemptions_;
};

}
