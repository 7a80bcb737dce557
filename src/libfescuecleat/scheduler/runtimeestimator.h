#pragma once

#include "base/id.h"
#include "scheduler/jobentry.h"

#include <map>

namespace fescuecleat {

/**
 * Corrects declared run times by how far off an organisation's were before. The
 * correction is bounded, so that a few odd jobs don't spoil the estimates.
 */
class RunTimeEstimator {
public:
    /** Learns from a finished job that ran for `actual`. */
    void finished(const JobEntry&, Duration actual);
    /** Time that a whole run takes. */
    Duration wholeRun(const JobSpec&) const;
    /** Time for which a placed or waiting job still has to run. */
    Duration remainingRun(const JobEntry&, Time now) const;

private:
    /** Logarithm of actual over declared, as a moving average. */
    std::map<OrganisationId, double> logRatio_;
};

}
