#pragma once

#include "scheduler/placementfinder.h"
#include "scheduler/scheduler.h"
#include "scheduler/schedulerstate.h"

#include <memory>

namespace fescuecleat {

class GangMachine;

/** The scheduler behind its public face: applies an event, then looks for places. */
struct Scheduler::Impl {
    explicit Impl(std::unique_ptr<PlacementFinder> finder);

    std::vector<SchedulerAction> handle(const SchedulerEvent&, Time now);

    Time nextDeadline() const;

    SchedulerState state_;
    std::unique_ptr<PlacementFinder> finder_;

private:
    void apply(const SchedulerEvent&, Time now);
    void takeOut(const DataCentreTakenOut&, GangMachine&);
};

}
