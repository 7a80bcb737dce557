#pragma once

#include "base/time.h"
#include "pool/jobpolicy.h"
#include "pool/pooljobspec.h"
#include "pool/pooljobstate.h"
#include "pool/workunit.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** A job that the scheduler knows. */
struct Job {
    std::string id_;
    PoolJobSpec spec_;
    JobPolicy policy_;
    Time submittedAt_ {};
    PoolJobState state_ = PoolJobState::Queued;
    std::vector<WorkUnit> units_;
    /** Occurrences whose units exist. */
    int openedOccurrences_ = 0;

    const StepSpec& step(const WorkUnit& unit) const { return spec_.steps_[static_cast<std::size_t>(unit.step_)]; }
    bool isOpen() const { return !isFinal(state_); }
    /** The longest chain of estimated work. */
    Duration chain() const;
    /** The most accelerators that the job's widest step takes at once. */
    std::int64_t acceleratorDemand() const;
    /** Until when the job is worth its full credit. */
    Time objective() const;
    /** After this it is worth nothing. */
    Time worthlessAfter() const;
};

}
