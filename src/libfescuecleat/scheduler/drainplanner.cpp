#include "scheduler/drainplanner.h"

#include "scheduler/capacityunits.h"
#include "scheduler/gangstatemachine.h"
#include "scheduler/reservationmanager.h"
#include "scheduler/schedulerlimits.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Checkpoint times reserved before the deadline; jobs still running then are no longer left to finish. */
    constexpr int reservedCheckpoints = 2;

    const char* const drainReason = "the data centre was taken out";

}

void DrainPlanner::begin(Time deadline)
{
    state_.drainDeadline_ = deadline;
    state_.nextDrainStepAt_ = now_;
    ReservationManager(state_, now_).releaseAll();
    std::vector<JobId> unstarted;
    for (const auto& [id, entry] : state_.jobs_) {
        if (entry.phase_ == JobPhase::Preparing)
            unstarted.push_back(id);
    }
    std::sort(unstarted.begin(), unstarted.end());
    for (const JobId& id : unstarted)
        GangStateMachine(state_, now_).stop(state_.jobs_.at(id), AfterStop::Requeue, FailureCause::None, drainReason);
}

double DrainPlanner::workAtRisk(const JobEntry& entry) const
{
    const double share = std::max(0.0, entry.checkpointedShare_ - entry.shareAtStart_);
    const double saved = share * static_cast<double>(state_.estimator_.wholeRun(entry.spec_).count());
    const double ran = static_cast<double>((now_ - entry.startedAt_).count());
    return static_cast<double>(capacityUnitsOf(entry.shape_) * entry.spec_.tasks_) * std::max(0.0, ran - saved);
}

bool DrainPlanner::canCheckpointNow(const JobEntry& entry) const
{
    return entry.phase_ == JobPhase::Running && entry.spec_.canCheckpoint_ && entry.spec_.isIdempotent_;
}

bool DrainPlanner::endsBeforeReserve(const JobEntry& entry) const
{
    const Time reserveStart = *state_.drainDeadline_ - reservedCheckpoints * state_.configuration_.policy_.checkpointTimeout_;
    return now_ < reserveStart && now_ + state_.estimator_.remainingRun(entry, now_) <= reserveStart;
}

void DrainPlanner::advance()
{
    if (!state_.drainDeadline_)
        return;
    if (now_ >= *state_.drainDeadline_) {
        stopAll();
        return;
    }
    if (now_ < state_.nextDrainStepAt_)
        return;
    state_.nextDrainStepAt_ = now_ + drainInterval;
    int checkpointing = 0;
    std::vector<std::pair<double, JobId>> candidates;
    for (const auto& [id, entry] : state_.jobs_) {
        checkpointing += static_cast<int>(entry.phase_ == JobPhase::Stopping && entry.isCheckpointing_);
        if (canCheckpointNow(entry) && !endsBeforeReserve(entry))
            candidates.emplace_back(-workAtRisk(entry), id);
    }
    std::sort(candidates.begin(), candidates.end());
    const Time deadline = std::min(*state_.drainDeadline_, now_ + state_.configuration_.policy_.checkpointTimeout_);
    // In the reserved time all remaining gangs are checkpointed at once.
    const bool isInReserve = now_ >= *state_.drainDeadline_ - reservedCheckpoints * state_.configuration_.policy_.checkpointTimeout_;
    for (const auto& [risk, id] : candidates) {
        if (!isInReserve && checkpointing >= maxGangsDraining)
            return;
        GangStateMachine(state_, now_).preempt(state_.jobs_.at(id), deadline, drainReason);
        ++checkpointing;
    }
}

void DrainPlanner::stopAll()
{
    std::vector<JobId> unfinished;
    for (const auto& [id, entry] : state_.jobs_) {
        if (entry.phase_ == JobPhase::Starting || entry.phase_ == JobPhase::Running || (entry.phase_ == JobPhase::Stopping && entry.isCheckpointing_))
            unfinished.push_back(id);
    }
    std::sort(unfinished.begin(), unfinished.end());
    for (const JobId& id : unfinished)
        GangStateMachine(state_, now_).stop(state_.jobs_.at(id), AfterStop::Requeue, FailureCause::None, drainReason);
}

Time DrainPlanner::nextDeadline(const SchedulerState& state)
{
    if (!state.drainDeadline_)
        return Time::max();
    const bool isEmpty = std::none_of(state.jobs_.begin(), state.jobs_.end(), [](const auto& job) {
        return job.second.phase_ == JobPhase::Starting || job.second.phase_ == JobPhase::Running;
    });
    return isEmpty ? Time::max() : std::min(*state.drainDeadline_, state.nextDrainStepAt_);
}

}
