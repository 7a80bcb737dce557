#pragma once

#include "scheduler/placementfinder.h"
#include "scheduler/schedulerstate.h"

#include <map>
#include <tuple>

namespace fescuecleat {

/**
 * Goes over the waiting jobs in the order of the policy and places those that
 * fit: urgent ones first, then those that have waited past the ageing time,
 * then by what their organisation borrows for its weight, then by age. A line
 * whose head found no place is passed over until capacity is freed.
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
    using Line = std::pair<const JobClass, JobLine>;

    /** The line whose head is tried next, or nullptr. */
    Line* nextLine();
    bool tryPlace(JobEntry&, JobLine&);
    bool tryReserved(JobEntry&);
    bool tryFree(JobEntry&);
    bool tryBackfill(JobEntry&);
    bool tryWithinGuarantee(JobEntry&, JobLine&);
    /** Makes borrowers leave the organisation's own homes. */
    void tryReclaim(JobEntry&);
    void tryUrgentReservation(JobEntry&);

    SchedulerState& state_;
    PlacementFinder& finder_;
    Time now_;
    /** Demands that found nothing free in this pass, and at which version of what is free. */
    std::map<std::tuple<int, std::int64_t, std::int64_t, int, Adjacency, bool>, std::uint64_t> unfree_;
};

}
