#pragma once

#include "scheduler/reservation.h"
#include "scheduler/schedulerstate.h"

#include <optional>
#include <vector>

namespace fescuecleat {

/** Finds the placement of a gang with the lowest preemption cost. */
class ReservationPlanner {
public:
    ReservationPlanner(const SchedulerState& state, Time now)
        : state_(state)
        , now_(now)
    {
    }

    /** In the guaranteed cells of the job's organisation; borrowers there may be preempted. */
    std::optional<Placement> planWithinGuarantee(const JobEntry&) const;
    /** On any worker; jobs that a reservation of this kind may preempt count as cost. */
    std::optional<Placement> planAnywhere(const JobEntry&, ReservationKind) const;
    /** Jobs to preempt so that the placement becomes free, ordered by id. */
    std::vector<JobId> victimsOf(const JobEntry&, const Placement&, ReservationKind) const;

private:
    bool mayStop(const JobEntry& beneficiary, const JobEntry& victim, ReservationKind) const;
    std::int64_t costOf(const JobEntry& victim) const;
    void addVictims(Slot&, const JobEntry& beneficiary, const WorkerState&, ReservationKind) const;
    Slot slotOf(const JobEntry&, const WorkerState&, ReservationKind) const;

    const SchedulerState& state_;
    Time now_;
};

}
