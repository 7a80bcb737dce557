#pragma once

#include "scheduler/placementfinder.h"
#include "scheduler/schedulerstate.h"

namespace fescuecleat {

/** Goes over the waiting jobs once, in the order of the policy, and places those that fit. */
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
    /** The line whose head is tried next, or nullptr. */
    JobLine* nextLine();
    bool tryPlace(JobEntry&);

    SchedulerState& state_;
    PlacementFinder& finder_;
    Time now_;
};

}
