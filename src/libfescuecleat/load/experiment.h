#pragma once

#include "base/result.h"
#include "base/time.h"
#include "json/json.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fescuecleat {

/** Arrivals are multiplied by the factor for a while. */
struct Burst {
    Duration from_ { 0 };
    Duration until_ { 0 };
    double factor_ = 1;
    bool hitsRequests_ = true;
    bool hitsJobs_ = true;
};

enum class FaultTarget {
    Platform,
    Workers,
    Minions,
};

/** Replaces the faults of a stand-in; `faults_` is the body of POST /faults. */
struct SetFaultsStep {
    FaultTarget target_ = FaultTarget::Platform;
    /** Position in the testbed; -1: all. */
    int dataCentre_ = -1;
    std::string faults_;
};

struct TakeOutStep {
    int dataCentre_ = 0;
    Duration stopTime_ { 0 };
};

struct ReturnStep {
    int dataCentre_ = 0;
};

/** Minions of a data centre begin to leave. */
struct LeaveMinionsStep {
    int dataCentre_ = 0;
    int minions_ = 0;
};

/** Cuts the entry instances of a data centre off from those of the others; needs daemons with the test hook. */
struct CutOffStep {
    int dataCentre_ = 0;
};

/** Ends all cuts. */
struct JoinStep {
};

/** Writes the configuration in force again as a new version. */
struct ConfigureStep {
};

/** Cancels a share of the jobs that have not ended. */
struct CancelWaveStep {
    double share_ = 0;
};

using Step = std::variant<SetFaultsStep, TakeOutStep, ReturnStep, LeaveMinionsStep, CutOffStep, JoinStep, ConfigureStep, CancelWaveStep>;

struct TimedStep {
    Duration at_ { 0 };
    Step step_;
};

/** A policy that the experiment is run under, to be compared with the others. */
struct Variant {
    std::string name_;
    /** Members of the configuration's policy that differ. */
    JsonValue policy_;
};

/** What happens in one run, whatever the deployment. */
struct Experiment {
    std::string name_;
    std::uint64_t seed_ = 1;
    /** How long work arrives. */
    Duration duration_ { 0 };
    /** How long the run waits for accepted work afterwards. */
    Duration drainTime_ { 0 };
    int repeats_ = 1;
    double requestFactor_ = 1;
    double jobFactor_ = 1;
    /** Requests in progress at the same time at most. */
    int senders_ = 96;
    std::vector<Burst> bursts_;
    /** In order of time. */
    std::vector<TimedStep> steps_;
    /** Empty: the policy in force is left alone. */
    std::vector<Variant> variants_;
};

/** Parses an experiment; reports every error. */
Checked<Experiment> parseExperiment(const JsonValue&);

}
