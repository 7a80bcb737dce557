#include "pool/workerhealth.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    constexpr Duration avoidanceAfterFailure = std::chrono::seconds(3);
    constexpr Duration avoidanceAfterRepeatedFailures = std::chrono::seconds(9);
    /** Failed runs of a single job may be the job's fault. */
    constexpr std::size_t quarantineThreshold = 2;
    constexpr Duration minQuarantine = std::chrono::milliseconds(1500);
    constexpr Duration maxQuarantine = std::chrono::seconds(12);

}

void WorkerHealth::runFailed(const std::string& job, Time startedAt, Time now)
{
    failedJobs_.insert(job);
    lastFailureAt_ = now;
    const bool isRepeated = failedJobs_.size() >= quarantineThreshold;
    avoidedUntil_ = std::max(avoidedUntil_, now + (isRepeated ? avoidanceAfterRepeatedFailures : avoidanceAfterFailure));
    // Runs that were started before the last quarantine don't show how the worker is now.
    if (!isRepeated || startedAt < quarantinedUntil_)
        return;
    const Duration duration = std::min<Duration>(maxQuarantine, minQuarantine * (1 << std::min(quarantines_, 8)));
    ++quarantines_;
    isProbed_ = false;
    quarantinedUntil_ = now + duration;
    probationUntil_ = quarantinedUntil_ + duration;
    avoidedUntil_ = std::max(avoidedUntil_, probationUntil_);
}

void WorkerHealth::retractFailures(const std::string& job)
{
    if (failedJobs_.erase(job) > 0 && failedJobs_.size() < quarantineThreshold)
        *this = {};
}

void WorkerHealth::runSucceeded(Time startedAt)
{
    // A worker that fails all new runs may still complete earlier ones.
    if (startedAt < lastFailureAt_ || failedJobs_.empty())
        return;
    *this = {};
}

void WorkerHealth::runWasSlow(Time avoidedUntil)
{
    avoidedUntil_ = std::max(avoidedUntil_, avoidedUntil);
}

}
