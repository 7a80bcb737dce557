#pragma once

#include "scheduler/placementfinder.h"
#include "scheduler/schedulerstate.h"

#include <map>
#include <tuple>

namespace fescuecleat {

/**
 * Places queued jobs in policy order: urgent jobs first, then jobs older than
 * the ageing time, then by borrowed capacity of their organisation relative to
 * its weight, then by age. A class queue whose first job could not be placed is
 * skipped until capacity is freed.
 */
class PlacementPass {
public:
    PlacementPass(SchedulerState& state, PlacementFinder& finder, Time now)
        : state_(state)
        , finder_(finder)
        , now_(now)
    {
    }

    void run();

private:
    using ClassQueueEntry = std::pair<const JobClass, JobClassQueue>;

    /** The class queue whose first job is tried next; nullptr if none is left. */
    ClassQueueEntry* nextClassQueue();
    bool tryPlace(JobEntry&, JobClassQueue&);
    bool tryReservation(JobEntry&);
    bool tryFreeCapacity(JobEntry&);
    bool tryBackfill(JobEntry&);
    bool tryWithinGuarantee(JobEntry&, JobClassQueue&);
    /** Reserves capacity in the organisation's guaranteed cells and preempts borrowers there. */
    void tryReclaim(JobEntry&);
    void tryUrgentReservation(JobEntry&);

    SchedulerState& state_;
    PlacementFinder& finder_;
    Time now_;
    /** Demands without a free placement in this pass, with the freed-capacity version at which they failed. */
    std::map<std::tuple<int, std::int64_t, std::int64_t, int, Adjacency, bool>, std::uint64_t> failedDemands_;
};

}
