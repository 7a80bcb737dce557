#include "pool/job.h"

namespace fescuecleat {

namespace {

    /** A job earns credit until this many times its target duration. */
    constexpr int expiryFactor = 3;

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

Time Job::targetCompletion() const
{
    const auto stretched = std::chrono::duration_cast<Duration>(criticalPath() * policy_.stretch_);
    return submittedAt_ + stretched + policy_.latencyTarget_;
}

Time Job::creditExpiry() const
{
    return submittedAt_ + expiryFactor * (targetCompletion() - submittedAt_);
}

}
