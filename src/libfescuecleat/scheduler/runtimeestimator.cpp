#include "scheduler/runtimeestimator.h"

#include <algorithm>
#include <cmath>

namespace fescuecleat {

namespace {

    /** Weight of the latest job in the moving average. */
    constexpr double smoothingFactor = 0.1;
    /** Upper bound of the ratio; its inverse is the lower bound. */
    constexpr double maxRatio = 8;
    /** Lower bound of the share of work that an attempt is taken to have done; avoids a division by almost zero. */
    constexpr double minShare = 0.01;
    /** Assumed run time of jobs that declare none. */
    constexpr Duration defaultRunTime = std::chrono::hours(1);

    Duration declared(const JobSpec& spec)
    {
        return spec.declaredRunTime_ > Duration::zero() ? spec.declaredRunTime_ : defaultRunTime;
    }

}

void RunTimeEstimator::finished(const JobEntry& entry, Duration actual)
{
    const double share = std::max(minShare, 1 - entry.shareAtStart_);
    const double expected = static_cast<double>(declared(entry.spec_).count()) * share;
    const double ratio = std::clamp(static_cast<double>(std::max<Duration::rep>(1, actual.count())) / expected, 1 / maxRatio, maxRatio);
    double& average = logRatio_[entry.spec_.organisation_];
    average += smoothingFactor * (std::log(ratio) - average);
}

Duration RunTimeEstimator::wholeRun(const JobSpec& spec) const
{
    const auto average = logRatio_.find(spec.organisation_);
    const double ratio = average == logRatio_.end() ? 1 : std::exp(average->second);
    return Duration(static_cast<Duration::rep>(static_cast<double>(declared(spec).count()) * ratio));
}

Duration RunTimeEstimator::remainingRun(const JobEntry& entry, Time now) const
{
    const double whole = static_cast<double>(wholeRun(entry.spec_).count());
    if (entry.phase_ != JobPhase::Running)
        return Duration(static_cast<Duration::rep>(whole * (1 - entry.checkpointedShare_)));
    const auto left = Duration(static_cast<Duration::rep>(whole * (1 - entry.shareAtStart_))) - (now - entry.startedAt_);
    return std::max(left, Duration::zero());
}

}
