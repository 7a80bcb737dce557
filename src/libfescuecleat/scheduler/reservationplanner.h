#pragma once

#include "scheduler/reservation.h"
#include "scheduler/schedulerstate.h"

#include <optional>
#include <vector>

namespace fescuecleat {

/** Finds the place for a gang for which the least has to be stopped. */
class ReservationPlanner {
public:
    ReservationPlanner(const SchedulerState& state, Time now)
        : state_(state)
        , now_(now)
    {
    }

    /** In the job's own homes, at the cost of borrowers there. */
    std::optional<Placement> planInHomes(const JobEntry&) const;
    /** Anywhere, at the cost of work that a reservation of this kind may stop. */
    std::optional<Placement> planAnywhere(const JobEntry&, ReservationKind) const;
    /** Jobs that have to leave so that the placement becomes free, in the order of their ids. */
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
