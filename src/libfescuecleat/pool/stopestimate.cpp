#include "pool/stopestimate.h"

#include "pool/runforecast.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Without StopCosts: time lost when a task that saves its progress is stopped; it saves once more at the stop. */
    constexpr double restartSeconds = 0.2;

    double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

}

StopEstimate estimateStop(const PoolState& state, const Job& job, const WorkUnit& unit, double workDone, Time now)
{
    const StepSpec& step = job.step(unit);
    const double cores = step.weightInCores() * unit.taskCount_;
    if (!state.stopCosts_)
        return { (step.savesProgress_ ? restartSeconds : workDone) * cores, {}, false };
    const StopCosts& costs = *state.stopCosts_;
    StopEstimate estimate;
    const auto end = expectedEnd(state, job, unit, now);
    estimate.endsAnyway_ = end && *end <= now + costs.stop_;
    const bool isUnsent = std::all_of(unit.openRuns_.begin(), unit.openRuns_.end(), [&state](const RunId& run) { return state.runs_.at(run).phase_ == RunPhase::Recording; });
    if (isUnsent)
        return estimate;
    estimate.freeAfter_ = estimate.endsAnyway_ ? *end - now : costs.stop_;
    // What a task has not done yet need not be restored.
    estimate.lostCoreSeconds_ = (seconds(costs.stop_) + (step.savesProgress_ ? std::min(seconds(costs.restore_), workDone) : workDone)) * cores;
    return estimate;
}

}
