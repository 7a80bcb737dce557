#include "scheduler/schedulercore.h"

#include "base/overloaded.h"
#include "scheduler/drainplanner.h"
#include "scheduler/gangstatemachine.h"
#include "scheduler/guaranteebinder.h"
#include "scheduler/placementpass.h"
#include "scheduler/reservationmanager.h"
#include "scheduler/schedulerlimits.h"
#include "scheduler/waitingpolicy.h"

#include <algorithm>
#include <utility>

namespace fescuecleat {

SchedulerCore::SchedulerCore(std::unique_ptr<PlacementFinder> finder)
    : finder_(std::move(finder))
{
}

SchedulerCore::SchedulerCore(const SchedulerCore& other)
    : state_(other.state_)
    , finder_(other.finder_->cloneEmpty())
{
    state_.workers_.markAllChanged();
}

std::vector<SchedulerAction> SchedulerCore::handle(const SchedulerEvent& event, Time now)
{
    state_.actions_.clear();
    if (!state_.firstEventAt_)
        state_.firstEventAt_ = now;
    const std::uint64_t topology = state_.workers_.topologyVersion();
    apply(event, now);
    GangStateMachine(state_, now).tick();
    state_.health_.releaseDue(state_.workers_, now);
    if (state_.workers_.topologyVersion() != topology)
        state_.bindAt_ = std::min(state_.bindAt_, now + bindDelay);
    DrainPlanner(state_, now).advance();
    GuaranteeBinder(state_, now).bindIfDue();
    ReservationManager(state_, now).handleDue();
    WaitingPolicy(state_, now).runIfDue();
    PlacementPass(state_, *finder_, now).run();
    return std::exchange(state_.actions_, {});
}

void SchedulerCore::apply(const SchedulerEvent& event, Time now)
{
    GangStateMachine gangs(state_, now);
    std::visit(
        Overloaded {
            [&](const ConfigurationChanged& changed) { changeConfiguration(changed.configuration_, now); },
            [&](const JobSubmitted& submitted) { gangs.submit(submitted); },
            [&](const JobCancelled& cancelled) { gangs.cancel(cancelled.job_); },
            [&](const JobMoved& moved) { gangs.forget(moved.job_); },
            [&](const WorkerJoined& joined) { state_.workers_.join(state_.workers_.intern(joined.worker_), joined.rack_, joined.capacity_); },
            [&](const WorkerLost& lost) {
                const int worker = state_.workers_.find(lost.worker_);
                if (worker >= 0)
                    gangs.workerLost(worker);
            },
            [&](const WorkerReported& reported) { gangs.workerReported(reported); },
            [&](const TaskReported& reported) { gangs.taskReported(reported); },
            [&](const TaskRefused& refused) { gangs.taskRefused(refused); },
            [&](const StartPermitExtended& permit) {
                state_.startPermitUntil_ = std::max(state_.startPermitUntil_, permit.until_);
                gangs.permitExtended();
            },
            [&](const DataCentreTakenOut& taken) { DrainPlanner(state_, now).begin(taken.deadline_); },
            [&](const DataCentreReturned&) { state_.drainDeadline_.reset(); },
            [&](const Tick&) {} },
        event);
}

void SchedulerCore::changeConfiguration(const Configuration& configuration, Time now)
{
    const bool isSame = configuration.organisations_ == state_.configuration_.organisations_;
    state_.configuration_ = configuration;
    if (!isSame)
        state_.bindAt_ = now;
}

Time SchedulerCore::nextDeadline() const
{
    Time next = std::min({ state_.timers_.earliest(), state_.bindAt_, state_.nextPolicyAt_, state_.health_.nextRelease(), DrainPlanner::nextDeadline(state_) });
    for (const auto& [key, orphan] : state_.orphans_)
        next = std::min(next, orphan.stopAt_);
    for (const auto& [id, reservation] : state_.reservations_)
        next = std::min({ next, reservation.stopVictimsAt_, reservation.expiresAt_ });
    if (!state_.endedJobExpiries_.empty())
        next = std::min(next, state_.endedJobExpiries_.front().first);
    return next;
}

}
