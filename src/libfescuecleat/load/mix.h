#pragma once

#include "base/result.h"
#include "base/time.h"
#include "scheduler/jobspec.h"
#include "json/json.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** A stream of similar requests to the service of the testbed. */
struct RequestStream {
    std::string kind_;
    double ratePerSecond_ = 0;
    /** Median of a log-normal distribution. */
    Duration workTime_ { 0 };
    /** Standard deviation of the logarithm of the work time. */
    double logSigma_ = 0;
    /** From the intended send time to the deadline. */
    Duration timeout_ { 0 };
    bool isIdempotent_ = true;
};

/** A stream of similar jobs. */
struct JobStream {
    std::string name_;
    double ratePerSecond_ = 0;
    int tasks_ = 1;
    TaskShape shape_;
    Adjacency adjacency_ = Adjacency::Any;
    bool isUrgent_ = false;
    bool isIdempotent_ = true;
    bool canCheckpoint_ = true;
    /** Median of the actual run time, which is log-normal. */
    Duration runTime_ { 0 };
    /** Standard deviation of the logarithm of the actual run time. */
    double logSigma_ = 0;
    /** Standard deviation of the logarithm of declared over actual run time. */
    double declaredLogSigma_ = 0;
    /** Share of the jobs that fail on any worker. */
    double failingShare_ = 0;
};

/** Workload of one deployment. */
struct Mix {
    std::string deployment_;
    std::vector<RequestStream> requests_;
    std::vector<JobStream> jobs_;
    /** Weights of the testbed's organisations, in order; 1 where missing. */
    std::vector<double> organisationWeights_;
};

/** Parses a mix and reports all errors. */
ValidationResult<Mix> parseMix(const JsonValue&);

}
