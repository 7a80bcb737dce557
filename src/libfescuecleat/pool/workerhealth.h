#pragma once

#include "base/time.h"

#include <set>
#include <string>

namespace fescuecleat {

/**
 * Judges from its runs whether a worker may get new ones. After failed runs a worker is used
 * only if no other fits. After failed runs of several jobs in a row it is quarantined with
 * exponential backoff, and each quarantine ends with a probation.
 */
class WorkerHealth {
public:
    void runStarted(Time now) { isProbed_ = isProbed_ || isOnProbation(now); }
    void runFailed(const std::string& job, Time startedAt, Time now);
    /** The job is suspected to fail on all workers, so its failures don't count any more. */
    void retractFailures(const std::string& job);
    /** A run is progressing or has succeeded. */
    void runSucceeded(Time startedAt);
    /** A run is slow or stalled. */
    void runWasSlow(Time avoidedUntil);

    bool isAvoided(Time now) const { return now < avoidedUntil_; }
    bool isQuarantined(Time now) const { return now < quarantinedUntil_; }
    /** The quarantine has ended, but no run has succeeded since; one task may probe the worker. */
    bool isOnProbation(Time now) const { return now >= quarantinedUntil_ && now < probationUntil_; }
    /** Whether a task has been started to probe the worker. */
    bool isProbed() const { return isProbed_; }
    Time avoidedUntil() const { return avoidedUntil_; }

private:
    Time avoidedUntil_ {};
    Time quarantinedUntil_ {};
    Time probationUntil_ {};
    Time lastFailureAt_ {};
    /** Jobs whose runs failed since the last success. */
    std::set<std::string> failedJobs_;
    bool isProbed_ = false;
    /** Quarantines in a row. */
    int quarantines_ = 0;
};

}
