#pragma once

#include "scheduler/reservation.h"
#include "scheduler/schedulerstate.h"

namespace fescuecleat {

/** Creates, applies and releases reservations. */
class ReservationManager {
public:
    ReservationManager(SchedulerState& state, Time now)
        : state_(state)
        , now_(now)
    {
    }

    /** Reserves a placement for a queued job. The victims in it are preempted at `stopVictimsAt`. */
    void create(JobEntry&, ReservationKind, const Placement&, Time stopVictimsAt);
    /** Releases the job's reservation, if it has one. */
    void release(const JobId&);
    /** Releases reservations of borrowers that overlap a placement within a guarantee. */
    void releaseBorrowedOn(const Placement&);
    /** Releases every reservation on the worker. */
    void releaseOn(int worker);
    void releaseAll();
    /** True if the job's reserved placement is free. */
    bool isReady(const JobEntry&) const;
    /** Preempts the victims of due reservations and releases expired ones. */
    void handleDue();

private:
    void stopVictims(const JobId&);
    /** Time that victims get to write a checkpoint. */
    Duration checkpointTimeout(const JobEntry&) const;

    SchedulerState& state_;
    Time now_;
};

}
