#include "pool/poolworkerstate.h"

namespace fescuecleat {

void PoolWorkerState::addAllocation(const TaskRun& run)
{
    used_ += run.resources_;
    if (run.phase_ == RunPhase::Stopping)
        stopping_ += run.resources_;
    else if (run.isLasting_)
        lasting_ += run.resources_;
}

void PoolWorkerState::removeAllocation(const TaskRun& run)
{
    used_ -= run.resources_;
    if (run.phase_ == RunPhase::Stopping)
        stopping_ -= run.resources_;
    else if (run.isLasting_)
        lasting_ -= run.resources_;
}

}
