#include "scheduler/schedulerimpl.h"

#include "base/overloaded.h"
#include "scheduler/gangmachine.h"
#include "scheduler/placementpass.h"

#include <algorithm>
#include <utility>

namespace fescuecleat {

Scheduler::Impl::Impl(std::unique_ptr<PlacementFinder> finder)
    : finder_(std::move(finder))
{
}

std::vector<SchedulerAction> Scheduler::Impl::handle(const SchedulerEvent& event, Time now)
{
    state_.actions_.clear();
    apply(event, now);
    PlacementPass(state_, *finder_, now).run();
    return std::exchange(state_.actions_, {});
}

void Scheduler::Impl::apply(const SchedulerEvent& event, Time now)
{
    GangMachine gangs(state_, now);
    std::visit(
        Overloaded {
            [&](const ConfigurationChanged& changed) { state_.configuration_ = changed.configuration_; },
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
            [&](const DataCentreTakenOut& taken) { takeOut(taken, gangs); },
            [&](const DataCentreReturned&) { state_.takenOutUntil_.reset(); },
            [&](const Tick&) {} },
        event);
    gangs.tick();
}

void Scheduler::Impl::takeOut(const DataCentreTakenOut& event, GangMachine& gangs)
{
    state_.takenOutUntil_ = event.deadline_;
    std::vector<JobId> unstarted;
    for (const auto& [id, entry] : state_.jobs_) {
        if (entry.phase_ == JobPhase::Preparing)
            unstarted.push_back(id);
    }
    std::sort(unstarted.begin(), unstarted.end());
    for (const JobId& id : unstarted)
        gangs.stop(state_.jobs_.at(id), AfterStop::Requeue, Blame::None, "the data centre was taken out");
}

Time Scheduler::Impl::nextDeadline() const
{
    Time next = state_.timers_.earliest();
    for (const auto& [key, stray] : state_.strays_)
        next = std::min(next, stray.stopAt_);
    if (!state_.endedInOrder_.empty())
        next = std::min(next, state_.endedInOrder_.front().first);
    return next;
}

}
