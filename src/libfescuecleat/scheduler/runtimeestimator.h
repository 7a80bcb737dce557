#pragma once

#include "base/id.h"
#include "scheduler/jobentry.h"

#include <map>

namespace fescuecleat {

/**
 * Corrects declared run times by the past ratio of actual to declared run times
 * of the organisation. The ratio is bounded to limit the effect of outliers.
 */
class RunTimeEstimator {
public:
    /** Updates the ratio with a finished job that ran for `actual`. */
    void finished(const JobEntry&, Duration actual);
    /** Estimated duration of a whole run. */
    Duration wholeRun(const JobSpec&) const;
    /** Estimated time that a placed or queued job still has to run; not negative. */
    Duration remainingRun(const JobEntry&, Time now) const;

private:
    /** Exponential moving average of log(actual / declared). */
    std::map<OrganisationId, double> logRatio_;
};

}
