#include "pool/job.h"

namespace fescuecleat {

namespace {

    /** A job is worth something until this many times its objective. */
    constexpr int lateFactor = 3;

}

Duration Job::chain() const
{
    std::vector<Duration> finish(spec_.steps_.size());
    Duration longest {};
    for (std::size_t i = 0; i < spec_.steps_.size(); ++i) {
        Duration ready {};
        for (const int before : spec_.steps_[i].after_)
            ready = std::max(ready, finish[static_cast<std::size_t>(before)]);
        finish[i] = ready + spec_.steps_[i].estimate_;
        longest = std::max(longest, finish[i]);
    }
    return longest;
}

std::int64_t Job::acceleratorDemand() const
{
    std::int64_t widest = 0;
    for (const StepSpec& step : spec_.steps_)
        widest = std::max(widest, step.taskCount_ * step.resources_.accelerators_);
    return widest;
}

Time Job::objective() const
{
    const auto stretched = std::chrono::duration_cast<Duration>(chain() * policy_.stretch_);
    return submittedAt_ + stretched + policy_.latencyTarget_;
}

Time Job::worthlessAfter() const
{
    return submittedAt_ + lateFactor * (objective() - submittedAt_);
}

}
