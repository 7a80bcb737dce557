#pragma once

#include "scheduler/placementfinder.h"
#include "scheduler/schedulerevent.h"
#include "scheduler/schedulerstate.h"

#include <memory>
#include <vector>

namespace fescuecleat {

/** Implementation of Scheduler: applies events, then places queued jobs. Copies are independent of each other. */
class SchedulerCore {
public:
    explicit SchedulerCore(std::unique_ptr<PlacementFinder>);
    SchedulerCore(const SchedulerCore&);
    SchedulerCore(SchedulerCore&&) noexcept = default;
    SchedulerCore& operator=(const SchedulerCore&) = delete;
    SchedulerCore& operator=(SchedulerCore&&) noexcept = default;
    ~SchedulerCore() = default;

    std::vector<SchedulerAction> handle(const SchedulerEvent&, Time now);
    Time nextDeadline() const;
    const SchedulerState& state() const { return state_; }

private:
    void apply(const SchedulerEvent&, Time now);
    void changeConfiguration(const Configuration&, Time now);

    SchedulerState state_;
    std::unique_ptr<PlacementFinder> finder_;
};

}
