#include "pool/startrevocation.h"

#include "pool/placementrequest.h"

namespace fescuecleat {

const char* startRevocationName(StartRevocation revocation)
{
    switch (revocation) {
    case StartRevocation::WorkerDraining:
        return "worker_draining";
    case StartRevocation::WorkerDelisted:
        return "worker_delisted";
    case StartRevocation::DataCentreClosed:
        return "data_centre_closed";
    case StartRevocation::WorkerUnsuitable:
        return "worker_unsuitable";
    }
    return "unknown";
}

std::optional<StartRevocation> findStartRevocation(const PoolState& state, const RunId& run)
{
    const auto entry = state.runs_.find(run);
    if (entry == state.runs_.end() || entry->second.phase_ != RunPhase::Starting)
        return std::nullopt;
    const auto found = state.workers_.find(entry->second.worker_);
    if (found == state.workers_.end())
        return StartRevocation::WorkerDelisted;
    const PoolWorkerState& worker = found->second;
    if (!worker.isListed_)
        return StartRevocation::WorkerDelisted;
    if (!worker.isDescribed_)
        return std::nullopt;
    if (worker.info_.isDraining_)
        return StartRevocation::WorkerDraining;
    if (state.closedDataCentres_.count(worker.info_.dataCentre_) > 0)
        return StartRevocation::DataCentreClosed;
    const auto job = state.jobs_.find(run.task_.job_);
    if (job != state.jobs_.end() && !isEligible(worker.info_, job->second.step(entry->second.unit_.step_), job->second.policy_.service_))
        return StartRevocation::WorkerUnsuitable;
    return std::nullopt;
}

}
