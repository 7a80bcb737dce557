#pragma once

#include "pool/poolstate.h"
#include "pool/stopcosts.h"

#include <optional>

namespace fescuecleat {

/** What stopping a unit would lose, and how soon its resources would be free. */
struct StopEstimate {
    /** Work that is thrown away, and the time of stopping and restoring, in core-seconds of all the unit's tasks. */
    double lostCoreSeconds_ = 0;
    Duration freeAfter_ {};
    /** The unit ends by itself as soon as it could be stopped. */
    bool endsAnyway_ = false;
};

/** Estimates for a running unit whose tasks have each done `workDone` seconds of work. Without StopCosts, fixed assumptions apply. */
StopEstimate estimateStop(const PoolState&, const Job&, const WorkUnit&, double workDone, Time now);

}
