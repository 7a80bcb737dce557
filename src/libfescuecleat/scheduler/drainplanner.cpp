#include "scheduler/drainplanner.h"

#include "scheduler/capacityunits.h"
#include "scheduler/gangmachine.h"
#include "scheduler/reservationkeeper.h"
#include "scheduler/schedulerlimits.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Checkpoint times before the deadline from which nothing is left to end by itself. */
    constexpr int checkpointsInReserve = 2;

    const char* const drainReason = "the data centre was taken out";

}

void DrainPlanner::begin(Time deadline)
{
    state_.takenOutUntil_ = deadline;
    state_.nextDrainAt_ = now_;
    ReservationKeeper(state_, now_).dropAll();
    std::vector<JobId> unstarted;
    for (const auto& [id, entry] : state_.jobs_) {
        if (entry.phase_ == JobPhase::Preparing)
            unstarted.push_back(id);
    }
    std::sort(unstarted.begin(), unstarted.end());
    for (const JobId& id : unstarted)
        GangMachine(state_, now_).stop(state_.jobs_.at(id), AfterStop::Requeue, Blame::None, drainReason);
}

double DrainPlanner::workAtRisk(const JobEntry& entry) const
{
    const double share = std::max(0.0, entry.checkpointedShare_ - entry.shareAtStart_);
    const double saved = share * static_cast<double>(state_.estimator_.wholeRun(entry.spec_).count());
    const double ran = static_cast<double>((now_ - entry.startedAt_).count());
    return static_cast<double>(unitsOf(entry.shape_) * entry.spec_.tasks_) * std::max(0.0, ran - saved);
}

bool DrainPlanner::canLeave(const JobEntry& entry) const
{
    return entry.phase_ == JobPhase::Running && entry.spec_.canCheckpoint_ && entry.spec_.isIdempotent_;
}

bool DrainPlanner::endsInTime(const JobEntry& entry) const
{
    const Time reserve = *state_.takenOutUntil_ - checkpointsInReserve * state_.configuration_.policy_.checkpointTime_;
    return now_ < reserve && now_ + state_.estimator_.remainingRun(entry, now_) <= reserve;
}

void DrainPlanner::proceed()
{
    if (!state_.takenOutUntil_)
        return;
    if (now_ >= *state_.takenOutUntil_) {
        stopAll();
        return;
    }
    if (now_ < state_.nextDrainAt_)
        return;
    state_.nextDrainAt_ = now_ + drainInterval;
    int leaving = 0;
    std::vector<std::pair<double, JobId>> candidates;
    for (const auto& [id, entry] : state_.jobs_) {
        leaving += static_cast<int>(entry.phase_ == JobPhase::Stopping && entry.isCheckpointing_);
        if (canLeave(entry) && !endsInTime(entry))
            candidates.emplace_back(-workAtRisk(entry), id);
    }
    std::sort(candidates.begin(), candidates.end());
    const Time deadline = std::min(*state_.takenOutUntil_, now_ + state_.configuration_.policy_.checkpointTime_);
    // The reserve before the deadline belongs to whatever is left, all at once.
    const bool isLate = now_ >= *state_.takenOutUntil_ - checkpointsInReserve * state_.configuration_.policy_.checkpointTime_;
    for (const auto& [risk, id] : candidates) {
        if (!isLate && leaving >= maxGangsDraining)
            return;
        GangMachine(state_, now_).preempt(state_.jobs_.at(id), deadline, drainReason);
        ++leaving;
    }
}

void DrainPlanner::stopAll()
{
    std::vector<JobId> left;
    for (const auto& [id, entry] : state_.jobs_) {
        if (entry.phase_ == JobPhase::Starting || entry.phase_ == JobPhase::Running || (entry.phase_ == JobPhase::Stopping && entry.isCheckpointing_))
            left.push_back(id);
    }
    std::sort(left.begin(), left.end());
    for (const JobId& id : left)
        GangMachine(state_, now_).stop(state_.jobs_.at(id), AfterStop::Requeue, Blame::None, drainReason);
}

Time DrainPlanner::nextDeadline(const SchedulerState& state)
{
    if (!state.takenOutUntil_)
        return Time::max();
    const bool isEmpty = std::none_of(state.jobs_.begin(), state.jobs_.end(), [](const auto& job) {
        return job.second.phase_ == JobPhase::Starting || job.second.phase_ == JobPhase::Running;
    });
    return isEmpty ? Time::max() : std::min(*state.takenOutUntil_, state.nextDrainAt_);
}

}
