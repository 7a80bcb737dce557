#include "pool/healthreview.h"

#include <algorithm>
#include <vector>

namespace fescuecleat {

namespace {

    /** A run is slow below this share of its step's median speed or of its own highest speed. */
    constexpr double slowSpeedShare = 0.3;
    /** Speeds are ignored above this progress, where they are unreliable. */
    constexpr int maxMeasuredPercent = 97;
    /** How long a worker is avoided after its last slow sample. */
    constexpr Duration slowWorkerAvoidance = std::chrono::seconds(3);
    /** Typical duration of a slow period. */
    constexpr Duration typicalSlowPeriod = std::chrono::seconds(4);
    /** Cost of a restart, excluding repeated work, and excluding the stop and the restore if StopCosts has them. */
    constexpr Duration restartOverhead = std::chrono::milliseconds(1200);
    constexpr Duration restartOverheadBesideStop = std::chrono::milliseconds(1000);
    /** Most work that is repeated when a task that saves its progress restarts. */
    constexpr Duration maxCheckpointLoss = std::chrono::seconds(1);
    /** Tasks that save their progress are moved off a draining worker this long before it may leave. */
    constexpr Duration drainMargin = std::chrono::milliseconds(900);
    /** Reviews are 0.25 s apart, and the request to stop takes some time. */
    constexpr Duration drainMarginBesideStop = std::chrono::milliseconds(400);
    /** Draining workers typically stay this much longer than announced. */
    constexpr Duration typicalDrainOverrun = std::chrono::seconds(2);

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
    detectSlowWorkers();
    evacuateDrainingWorkers();
}

bool HealthReview::hasUsableSpeed(const TaskRun& run, const StepSpec& step) const
{
    return run.phase_ == RunPhase::Running && run.percentPerSecond_ && !step.isLongRunning_ && run.percentDone_ < maxMeasuredPercent;
}

bool HealthReview::isSlow(const TaskRun& run, double medianSpeed) const
{
    return *run.percentPerSecond_ < slowSpeedShare * std::max(medianSpeed, run.maxPercentPerSecond_);
}

Duration HealthReview::normalDuration(const TaskRun& run, const StepSpec& step, double medianSpeed) const
{
    const double speed = std::max(medianSpeed, run.maxPercentPerSecond_);
    return speed > 0 ? fromSeconds(100 / speed) : step.estimate_;
}

void HealthReview::detectSlowWorkers()
{
    std::vector<SlowUnit> slowUnits;
    // Runs are ordered by job, occurrence and step, so those of a step are adjacent.
    for (auto first = state_.runs_.begin(); first != state_.runs_.end();) {
        const TaskId& task = first->first.task_;
        auto end = first;
        while (end != state_.runs_.end() && end->first.task_.step_ == task.step_ && end->first.task_.occurrence_ == task.occurrence_ && end->first.task_.job_ == task.job_)
            ++end;
        if (Job* job = state_.findJob(task.job_))
            detectSlowRuns(*job, first, end, slowUnits);
        first = end;
    }
    for (const SlowUnit& slow : slowUnits)
        restartIfFaster(slow);
}

void HealthReview::detectSlowRuns(Job& job, RunIterator first, RunIterator end, std::vector<SlowUnit>& slowUnits)
{
    const StepSpec& step = job.spec_.steps_[static_cast<std::size_t>(first->first.task_.step_)];
    std::vector<double> speeds;
    for (auto it = first; it != end; ++it) {
        if (hasUsableSpeed(it->second, step))
            speeds.push_back(it->second.maxPercentPerSecond_);
    }
    if (speeds.empty())
        return;
    const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), middle, speeds.end());
    const double medianSpeed = *middle;
    for (auto it = first; it != end; ++it) {
        const TaskRun& run = it->second;
        if (!hasUsableSpeed(run, step) || !isSlow(run, medianSpeed))
            continue;
        const bool isKnown = !slowUnits.empty() && slowUnits.back().job_ == &job && slowUnits.back().unit_ == run.unit_;
        if (!isKnown)
            slowUnits.push_back({ &job, run.unit_, medianSpeed });
        if (PoolWorkerState* worker = state_.findWorker(run.worker_))
            worker->health_.runWasSlow(now_ + slowWorkerAvoidance);
    }
}

void HealthReview::restartIfFaster(const SlowUnit& slow)
{
    Job& job = *slow.job_;
    const WorkUnit& unit = job.unit(slow.unit_);
    if (!job.isOpen() || unit.isRunAborted_ || unit.state_ != UnitState::Active || job.step(unit).maxUnavailable_ > 0)
        return;
    const StepSpec& step = job.step(unit);
    const double medianSpeed = slow.medianSpeed_;
    Duration inPlace {};
    Duration afterRestart {};
    const auto& costs = state_.stopCosts_;
    for (const RunId& id : unit.openRuns_) {
        const TaskRun& run = state_.runs_.at(id);
        const Duration fullDuration = normalDuration(run, step, medianSpeed);
        const Duration left = std::chrono::duration_cast<Duration>(fullDuration * (100 - run.percentDone_) / 100.0);
        Duration leftInPlace = left;
        if (hasUsableSpeed(run, step) && isSlow(run, medianSpeed)) {
            leftInPlace = left + typicalSlowPeriod;
            if (*run.percentPerSecond_ > 0)
                leftInPlace = std::min(leftInPlace, fromSeconds((100 - run.percentDone_) / *run.percentPerSecond_));
        }
        inPlace = std::max(inPlace, leftInPlace);
        // A slow worker may not save once more at the stop.
        const Duration checkpointLoss = costs ? std::min<Duration>(costs->checkpointInterval_, fullDuration - left) : maxCheckpointLoss;
        afterRestart = std::max(afterRestart, step.savesProgress_ ? left + checkpointLoss : fullDuration);
    }
    Duration overhead = restartOverhead;
    if (costs)
        overhead = restartOverheadBesideStop + costs->stop_ + (step.savesProgress_ ? costs->restore_ : Duration::zero());
    if (afterRestart + overhead < inPlace)
        state_.stopUnit(job, slow.unit_, "its workers are slow", now_);
}

Duration HealthReview::remainingOnWorker(const TaskRun& run, const StepSpec& step) const
{
    if (run.percentPerSecond_ && *run.percentPerSecond_ > 0)
        return fromSeconds((100 - run.percentDone_) / *run.percentPerSecond_);
    return std::max(Duration::zero(), step.estimate_ - (now_ - run.startedAt_));
}

bool HealthReview::isExpectedToFinish(const Job& job, const TaskRun& run, Duration left) const
{
    const StepSpec& step = job.step(run.unit_.step_);
    if (!state_.stopCosts_ || !run.unit_.isGang())
        return remainingOnWorker(run, step) < left + typicalDrainOverrun;
    // The gang ends with its slowest member, and all of it is lost if the worker leaves first.
    const std::set<RunId>& members = job.unit(run.unit_).openRuns_;
    return std::all_of(members.begin(), members.end(), [&](const RunId& member) { return remainingOnWorker(state_.runs_.at(member), step) < left; });
}

void HealthReview::evacuateDrainingWorkers()
{
    std::set<UnitKey> leavingUnits;
    for (auto& [key, worker] : state_.workers_) {
        if (!worker.info_.isDraining_)
            continue;
        for (const RunId& id : worker.runs_) {
            const TaskRun& run = state_.runs_.at(id);
            const Job* job = state_.findJob(id.task_.job_);
            if (job == nullptr || run.phase_ != RunPhase::Running)
                continue;
            const StepSpec& step = job->step(run.unit_.step_);
            const Duration left = worker.leavesAt_ - now_;
            const bool mayFinish = !step.isLongRunning_ && isExpectedToFinish(*job, run, left);
            const bool waitsForMargin = step.savesProgress_ && left > (state_.stopCosts_ ? state_.stopCosts_->stop_ + drainMarginBesideStop : drainMargin);
            if (!mayFinish && !waitsForMargin && step.maxUnavailable_ == 0)
                leavingUnits.emplace(id.task_.job_, run.unit_);
        }
    }
    for (const UnitKey& key : leavingUnits) {
        Job* job = state_.findJob(key.first);
        if (job->isOpen() && !job->unit(key.second).isRunAborted_)
            state_.stopUnit(*job, key.second, "its worker leaves", now_);
    }
}

}
