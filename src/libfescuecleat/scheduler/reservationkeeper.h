#pragma once

#include "scheduler/reservation.h"
#include "scheduler/schedulerstate.h"

namespace fescuecleat {

/** Makes, honours and gives up reservations. */
class ReservationKeeper {
public:
    ReservationKeeper(SchedulerState& state, Time now)
        : state_(state)
        , now_(now)
    {
    }

    /** Keeps the place for a queued job; what is in the way is stopped once `stopVictimsAt` is due. */
    void make(JobEntry&, ReservationKind, const Placement&, Time stopVictimsAt);
    /** Gives up the job's reservation, if it has one. */
    void drop(const JobId&);
    /** Gives up reservations of borrowers on places that a guarantee takes. */
    void dropBorrowedOn(const Placement&);
    /** Gives up every reservation on the worker. */
    void dropOn(int worker);
    void dropAll();
    /** True if nothing is left in the job's reserved place. */
    bool isReady(const JobEntry&) const;
    /** Stops what is in the way where it is time, and gives up reservations that came to nothing. */
    void handleDue();

private:
    void stopVictims(const JobId&);
    Duration timeToLeave(const JobEntry&) const;

    SchedulerState& state_;
    Time now_;
};

}
