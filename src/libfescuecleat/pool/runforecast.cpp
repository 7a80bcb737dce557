#include "pool/runforecast.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Progress is reported in whole percent, and the speed varies during a run. */
    constexpr double progressMargin = 1.2;
    /** Estimates of run time are off by half or more. */
    constexpr double estimateMargin = 2;
    /** Time from the end of a run until it is reported. */
    constexpr Duration reportDelay = std::chrono::milliseconds(100);

    Duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    std::optional<Time> expectedEndOfRun(const TaskRun& run, Duration estimate, Time now)
    {
        if (run.phase_ == RunPhase::Stopping)
            return std::nullopt;
        // A finished member of a gang waits for the others.
        if (run.percentDone_ >= 100)
            return now;
        if (run.percentPerSecond_ && *run.percentPerSecond_ <= 0)
            return std::nullopt;
        if (run.percentPerSecond_)
            return *run.sampledAt_ + fromSeconds((100 - run.sampledPercent_) / *run.percentPerSecond_ * progressMargin);
        if (!run.sampledAt_ || run.sampledPercent_ == 0)
            return run.startedAt_ + std::chrono::duration_cast<Duration>(estimate * estimateMargin);
        // The first report shows how much is left, and whether the estimate was much too short. A run that
        // continues from a checkpoint, or that a former lease holder started, has done more than it had time for.
        const double left = 100 - run.sampledPercent_;
        const Duration byEstimate = std::chrono::duration_cast<Duration>(estimate * (left / 100 * estimateMargin));
        const Duration byProgress = std::chrono::duration_cast<Duration>((*run.sampledAt_ - run.startedAt_) * (left / run.sampledPercent_ * progressMargin));
        return *run.sampledAt_ + std::max(byEstimate, byProgress);
    }

}

std::optional<Time> expectedEnd(const PoolState& state, const Job& job, const WorkUnit& unit, Time now)
{
    const StepSpec& step = job.step(unit);
    if (unit.state_ != UnitState::Active || unit.isRunAborted_ || step.isLongRunning_ || unit.openRuns_.empty())
        return std::nullopt;
    Time latest = now;
    bool isProgressing = false;
    for (const RunId& id : unit.openRuns_) {
        const auto run = state.runs_.find(id);
        if (run == state.runs_.end())
            continue;
        const auto end = expectedEndOfRun(run->second, step.estimate_, now);
        if (!end || *end < now)
            return std::nullopt;
        latest = std::max(latest, *end);
        isProgressing = isProgressing || run->second.percentDone_ < 100 || run->second.percentPerSecond_.value_or(1) > 0;
    }
    // All have finished, but their end isn't reported.
    if (!isProgressing)
        return std::nullopt;
    return latest + reportDelay;
}

}
