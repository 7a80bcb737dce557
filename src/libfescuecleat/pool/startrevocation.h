#pragma once

#include "pool/poolstate.h"

#include <optional>

namespace fescuecleat {

/** Why a run that has been decided may no longer start on its worker. */
enum class StartRevocation {
    WorkerDraining,
    WorkerDelisted,
    DataCentreClosed,
    /** The configuration in force, or the worker's entry, no longer lets the worker run the task. */
    WorkerUnsuitable,
};

const char* startRevocationName(StartRevocation);

/**
 * What has revoked the permission to start a run that its worker has not acknowledged.
 * Nothing while the registry doesn't describe the worker's incarnation.
 */
std::optional<StartRevocation> findStartRevocation(const PoolState&, const RunId&);

}
