#pragma once

#include "pool/poolstate.h"

#include <optional>

namespace fescuecleat {

/**
 * When a unit that is running is expected to have ended by itself, at the latest: from the
 * progress of its runs, or from its estimate if they have not reported enough. Nothing if
 * that can't be told, if the unit has taken longer than expected, or if it is being stopped.
 */
std::optional<Time> expectedEnd(const PoolState&, const Job&, const WorkUnit&, Time now);

}
