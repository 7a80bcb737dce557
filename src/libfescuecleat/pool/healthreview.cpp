#include "pool/healthreview.h"

#include <algorithm>
#include <vector>

namespace fescuecleat {

namespace {

    /** A run this much slower than its like, or than it was itself, is slow. */
    constexpr double slowShare = 0.3;
    /** Runs nearer to their end than this don't say how fast they are. */
    constexpr int percentNearEnd = 97;
    /** How long a slow worker is avoided after it was last seen to be slow. */
    constexpr Duration avoidSlow = std::chrono::seconds(3);
    /** How long workers mostly stay slow. */
    constexpr Duration slowSpell = std::chrono::seconds(4);
    /** What a restart costs beside the work that is done again. */
    constexpr Duration restartCost = std::chrono::milliseconds(1200);
    /** Work that is done again at most when a task restarts that saves its progress. */
    constexpr Duration checkpointLoss = std::chrono::seconds(1);
    /** A task that saves its progress leaves a draining worker this long before the worker may be gone. */
    constexpr Duration drainMargin = std::chrono::milliseconds(900);
    /** Workers mostly stay this much longer than they said. */
    constexpr Duration drainLinger = std::chrono::seconds(2);

    Duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

}

HealthReview::HealthReview(PoolState& state, Time now)
    : state_(state)
    , now_(now)
{
}

void HealthReview::run()
{
    reviewProgress();
    reviewDraining();
}

bool HealthReview::isMeasured(const TaskRun& run, const StepSpec& step) const
{
    return run.phase_ == RunPhase::Running && run.speed_ && !step.isLongRunning_ && run.percentDone_ < percentNearEnd;
}

bool HealthReview::isSlow(const TaskRun& run, double stepSpeed) const
{
    return *run.speed_ < slowShare * std::max(stepSpeed, run.bestSpeed_);
}

Duration HealthReview::normalDuration(const TaskRun& run, const StepSpec& step, double stepSpeed) const
{
    const double speed = std::max(stepSpeed, run.bestSpeed_);
    return speed > 0 ? fromSeconds(100 / speed) : step.estimate_;
}

void HealthReview::reviewProgress()
{
    std::map<StepName, std::vector<double>> measured;
    const auto nameOf = [](const RunId& id) { return StepName(id.task_.job_, { id.task_.occurrence_, id.task_.step_ }); };
    for (const auto& [id, run] : state_.runs_) {
        const Job* job = state_.findJob(id.task_.job_);
        if (job != nullptr && isMeasured(run, job->step(job->units_[run.unit_])))
            measured[nameOf(id)].push_back(run.bestSpeed_);
    }
    std::map<StepName, double> stepSpeeds;
    for (auto& [name, speeds] : measured) {
        const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
        std::nth_element(speeds.begin(), middle, speeds.end());
        stepSpeeds[name] = *middle;
    }
    std::set<UnitName> slowed;
    for (const auto& [id, run] : state_.runs_) {
        const Job* job = state_.findJob(id.task_.job_);
        if (job == nullptr || !isMeasured(run, job->step(job->units_[run.unit_])) || !isSlow(run, stepSpeeds[nameOf(id)]))
            continue;
        slowed.emplace(id.task_.job_, run.unit_);
        if (PoolWorkerState* worker = state_.findWorker(run.worker_))
            worker->avoidedUntil_ = std::max(worker->avoidedUntil_, now_ + avoidSlow);
    }
    for (const UnitName& name : slowed)
        moveIfBetter(name, stepSpeeds);
}

void HealthReview::moveIfBetter(const UnitName& name, const std::map<StepName, double>& stepSpeeds)
{
    Job* job = state_.findJob(name.first);
    WorkUnit& unit = job->units_[name.second];
    if (!job->isOpen() || unit.isRunBroken_ || unit.state_ != UnitState::Active || job->step(unit).maxUnavailable_ > 0)
        return;
    const StepSpec& step = job->step(unit);
    const auto known = stepSpeeds.find({ name.first, { unit.occurrence_, unit.step_ } });
    const double stepSpeed = known == stepSpeeds.end() ? 0 : known->second;
    Duration here {};
    Duration elsewhere {};
    for (const RunId& id : unit.openRuns_) {
        const TaskRun& run = state_.runs_.at(id);
        const Duration whole = normalDuration(run, step, stepSpeed);
        const Duration left = std::chrono::duration_cast<Duration>(whole * (100 - run.percentDone_) / 100.0);
        Duration leftHere = left;
        if (isMeasured(run, step) && isSlow(run, stepSpeed)) {
            leftHere = left + slowSpell;
            if (*run.speed_ > 0)
                leftHere = std::min(leftHere, fromSeconds((100 - run.percentDone_) / *run.speed_));
        }
        here = std::max(here, leftHere);
        elsewhere = std::max(elsewhere, step.savesProgress_ ? left + checkpointLoss : whole);
    }
    if (elsewhere + restartCost < here)
        state_.stopUnit(*job, name.second, "its workers are slow", now_);
}

Duration HealthReview::remainingHere(const TaskRun& run, const StepSpec& step) const
{
    if (run.speed_ && *run.speed_ > 0)
        return fromSeconds((100 - run.percentDone_) / *run.speed_);
    return std::max(Duration::zero(), step.estimate_ - (now_ - run.startedAt_));
}

void HealthReview::reviewDraining()
{
    std::set<UnitName> leaving;
    for (auto& [key, worker] : state_.workers_) {
        if (!worker.info_.isDraining_)
            continue;
        for (const RunId& id : worker.runs_) {
            const TaskRun& run = state_.runs_.at(id);
            const Job* job = state_.findJob(id.task_.job_);
            if (job == nullptr || run.phase_ != RunPhase::Running)
                continue;
            const StepSpec& step = job->step(job->units_[run.unit_]);
            const Duration left = worker.leavesAt_ - now_;
            const bool mayFinish = !step.isLongRunning_ && remainingHere(run, step) < left + drainLinger;
            const bool waitsForMargin = step.savesProgress_ && left > drainMargin;
            if (!mayFinish && !waitsForMargin && step.maxUnavailable_ == 0)
                leaving.emplace(id.task_.job_, run.unit_);
        }
    }
    for (const UnitName& name : leaving) {
        Job* job = state_.findJob(name.first);
        if (job->isOpen() && !job->units_[name.second].isRunBroken_)
            state_.stopUnit(*job, name.second, "its worker leaves", now_);
    }
}

}
