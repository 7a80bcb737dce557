#pragma once

#include "base/result.h"
#include "base/time.h"
#include "scheduler/jobspec.h"
#include "json/json.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** A stream of alike requests to the service of the testbed. */
struct RequestStream {
    std::string kind_;
    double perSecond_ = 0;
    /** Median of the work time; single ones differ by `spread_`. */
    Duration workTime_ { 0 };
    /** Standard deviation of the logarithm. */
    double spread_ = 0;
    /** From the intended send time to the deadline. */
    Duration patience_ { 0 };
    bool isIdempotent_ = true;
};

/** A stream of alike jobs. */
struct JobStream {
    std::string name_;
    double perSecond_ = 0;
    int tasks_ = 1;
    TaskShape shape_;
    Adjacency adjacency_ = Adjacency::Any;
    bool isUrgent_ = false;
    bool isIdempotent_ = true;
    bool canCheckpoint_ = true;
    /** Median of the real run time. */
    Duration runTime_ { 0 };
    double spread_ = 0;
    /** Standard deviation of the logarithm of declared over real run time. */
    double declaredSpread_ = 0;
    /** Share of the jobs that fail wherever they run. */
    double failingShare_ = 0;
};

/** What the users of one deployment do. */
struct Mix {
    std::string deployment_;
    std::vector<RequestStream> requests_;
    std::vector<JobStream> jobs_;
    /** Weights of the testbed's organisations, in order; missing ones weigh 1. */
    std::vector<double> organisationWeights_;
};

/** Parses a mix; reports every error. */
Checked<Mix> parseMix(const JsonValue&);

}
