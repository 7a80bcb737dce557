#include "pool/job.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** A job earns credit until this many times its target duration. */
    constexpr int expiryFactor = 3;
    /** A job without a healthy run that has failed on this many workers is suspected to fail everywhere. */
    constexpr std::size_t suspectFailureThreshold = 3;

}

Duration Job::criticalPath() const
{
    std::vector<Duration> finish(spec_.steps_.size());
    Duration longest {};
    for (std::size_t i = 0; i < spec_.steps_.size(); ++i) {
        Duration ready {};
        for (const int dependency : spec_.steps_[i].after_)
            ready = std::max(ready, finish[static_cast<std::size_t>(dependency)]);
        finish[i] = ready + spec_.steps_[i].estimate_;
        longest = std::max(longest, finish[i]);
    }
    return longest;
}

std::int64_t Job::peakAccelerators() const
{
    std::int64_t widest = 0;
    for (const StepSpec& step : spec_.steps_)
        widest = std::max(widest, step.taskCount_ * step.resources_.accelerators_);
    return widest;
}

bool Job::isLasting() const
{
    return std::any_of(spec_.steps_.begin(), spec_.steps_.end(), [](const StepSpec& step) { return step.isLongRunning_; });
}

bool Job::hasTarget() const
{
    return !spec_.isTimed() && !isLasting();
}

bool Job::isSuspect() const
{
    return !hasHealthyRun_ && failedOn_.size() >= suspectFailureThreshold;
}

TaskCrashes Job::crashesOf(const TaskId& task) const
{
    const WorkUnit* const unit = progress_.find(progress_.unitOf(task));
    if (unit == nullptr)
        return {};
    const auto crashes = unit->crashes_.find(task.index_);
    return crashes == unit->crashes_.end() ? TaskCrashes {} : crashes->second;
}

void Job::computeTargets()
{
    const auto stretched = std::chrono::duration_cast<Duration>(criticalPath() * policy_.stretch_);
    const Duration target = stretched + policy_.latencyTarget_;
    targetCompletion_ = submittedAt_ + target;
    creditExpiry_ = submittedAt_ + expiryFactor * target;
}

}
