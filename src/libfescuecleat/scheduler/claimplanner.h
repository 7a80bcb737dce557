#pragma once

#include "scheduler/claim.h"
#include "scheduler/schedulerstate.h"

#include <optional>
#include <vector>

namespace fescuecleat {

/** Finds the place for a gang for which the least has to be stopped. */
class ClaimPlanner {
public:
    ClaimPlanner(const SchedulerState& state, Time now)
        : state_(state)
        , now_(now)
    {
    }

    /** In the job's own homes, at the cost of borrowers there. */
    std::optional<Placement> planInHomes(const JobEntry&) const;
    /** Anywhere, at the cost of work that a claim of this kind may stop. */
    std::optional<Placement> planAnywhere(const JobEntry&, ClaimKind) const;
    /** Jobs that have to leave so that the placement becomes free, in the order of their ids. */
    std::vector<JobId> victimsOf(const JobEntry&, const Placement&, ClaimKind) const;

private:
    bool mayStop(const JobEntry& claimant, const JobEntry& victim, ClaimKind) const;
    std::int64_t costOf(const JobEntry& victim) const;
    void addVictims(Slot&, const JobEntry& claimant, const WorkerState&, ClaimKind) const;
    Slot slotOf(const JobEntry&, const WorkerState&, ClaimKind) const;

    const SchedulerState& state_;
    Time now_;
};

}
