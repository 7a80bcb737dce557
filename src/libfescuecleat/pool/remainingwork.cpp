#include "pool/remainingwork.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** A run that has outlived its estimate is expected to take this share of the estimate more. */
    constexpr double overdueShare = 0.1;
    /** The speed of a run is extrapolated to this many times its estimate at most. */
    constexpr double maxEstimateFactor = 3;
    /** Time until a run that is being stopped has ended. */
    constexpr double stoppingSeconds = 0.2;

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    double shareOf(std::int64_t part, std::int64_t total)
    {
        return total > 0 ? static_cast<double>(part) / static_cast<double>(total) : 0;
    }

}

PoolShare::PoolShare(const std::map<WorkerKey, PoolWorkerState>& workers, const std::set<std::string>& closedDataCentres)
{
    for (const auto& [key, worker] : workers) {
        if (worker.takesNewWork(closedDataCentres) && worker.isReachable_)
            total_ += worker.info_.capacity_;
    }
}

double PoolShare::of(const Resources& resources) const
{
    return std::max({ shareOf(resources.cpuMillis_, total_.cpuMillis_), shareOf(resources.memoryMb_, total_.memoryMb_), shareOf(resources.accelerators_, total_.accelerators_) });
}

double PoolShare::wholeWork(const PoolJobSpec& spec) const
{
    double work = 0;
    for (const StepSpec& step : spec.steps_)
        work += of(step.allocation()) * step.taskCount_ * seconds(step.estimate_);
    return work;
}

double remainingSeconds(const TaskRun& run, Duration estimate, Time now)
{
    if (run.phase_ == RunPhase::Stopping)
        return stoppingSeconds;
    const double estimated = seconds(estimate);
    double left = estimated - std::max(0.0, seconds(now - run.startedAt_));
    if (run.percentPerSecond_ && *run.percentPerSecond_ > 0 && run.sampledAt_)
        left = (100 - run.percentDone_) / *run.percentPerSecond_ - seconds(now - *run.sampledAt_);
    else if (run.percentDone_ > 0)
        left = std::min(left, estimated * (100 - run.percentDone_) / 100);
    return std::clamp(left, overdueShare * estimated, maxEstimateFactor * estimated);
}

RemainingWork remainingWork(const Job& job, const PoolShare& share, Time now)
{
    RemainingWork result;
    std::vector<Duration> finish(job.spec_.steps_.size());
    for (std::size_t i = 0; i < job.spec_.steps_.size(); ++i) {
        const StepSpec& step = job.spec_.steps_[i];
        const StepProgress& progress = job.progress_.step(static_cast<int>(i));
        Duration ready {};
        for (const int dependency : step.after_)
            ready = std::max(ready, finish[static_cast<std::size_t>(dependency)]);
        std::int64_t waiting = progress.waitingUnits();
        result.readyShare_ += share.of(step.allocation()) * static_cast<double>(waiting * progress.taskCount());
        if (!job.spec_.isTimed() && waiting == 0 && progress.started().empty() && !progress.isDone(progress.unitsOf(0)))
            waiting = progress.unitsOf(0).last_ + 1; // it waits for other steps
        Duration left = waiting > 0 ? step.estimate_ : Duration::zero();
        if (waiting == 0 && job.spec_.steps_.size() > 1) {
            for (const auto& [number, unit] : progress.started())
                left = std::max(left, unit.startedAt_ + step.estimate_ - now);
        }
        finish[i] = ready + left;
        result.waitingWork_ += share.of(step.allocation()) * static_cast<double>(waiting * progress.taskCount()) * seconds(step.estimate_);
        result.criticalPath_ = std::max(result.criticalPath_, finish[i]);
    }
    return result;
}

}
