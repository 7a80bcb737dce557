#pragma once

#include "pool/placementrequest.h"
#include "pool/poolstate.h"
#include "pool/preemption.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace fescuecleat {

/**
 * Selects running units of an organisation to stop so that its more important unit fits its limit, during one
 * scheduling pass. Valid until further runs of the organisation are stopped.
 */
class LimitPreemption {
public:
    LimitPreemption(const PoolState&, const Preemption&, std::string organisation);

    /**
     * The cheapest victims of the organisation, of higher rank values than `rank`, whose end makes the request fit the limit
     * beside `reserved` and all runs that aren't about to end; empty if what is about to end suffices, and nothing if all
     * victims together don't. Victims in `preferred` come first.
     */
    std::optional<Preemption::Plan> plan(const PlacementRequest&, int rank, const Resources& reserved, const std::vector<std::size_t>& preferred) const;

private:
    /** What ends soon without a further stop: runs that reachable workers are stopping. */
    Resources aboutToEnd() const;
    /** What the victim's end frees; nothing if one of its workers is silent, where a stop takes effect only with the lease's end. */
    std::optional<Resources> freedBy(const Preemption::Victim&) const;
    bool isReachable(const WorkerKey&) const;

    const PoolState& state_;
    const Preemption& preemption_;
    std::string organisation_;
    Resources aboutToEnd_;
};

}
