#pragma once

#include "base/result.h"
#include "base/time.h"
#include "json/json.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fescuecleat {

/** Multiplies arrival rates by a factor for a time. */
struct Burst {
    Duration from_ { 0 };
    Duration until_ { 0 };
    double factor_ = 1;
    bool appliesToRequests_ = true;
    bool appliesToJobs_ = true;
};

/** Stand-in that faults are set on. */
enum class FaultTarget {
    Platform,
    Workers,
    Minions,
};

/** Replaces the faults of a stand-in; `faults_` is the body of POST /faults. */
struct SetFaultsStep {
    FaultTarget target_ = FaultTarget::Platform;
    /** Index in the testbed; -1 for all data centres. */
    int dataCentre_ = -1;
    std::string faults_;
};

/** Takes a data centre out of service. */
struct TakeOutStep {
    int dataCentre_ = 0;
    /** Time that running work has to end. */
    Duration drainTimeout_ { 0 };
};

/** Returns a data centre to service. */
struct ReturnStep {
    int dataCentre_ = 0;
};

/** Makes minions of a data centre leave. */
struct LeaveMinionsStep {
    int dataCentre_ = 0;
    int minions_ = 0;
};

/** Partitions the entry instances of a data centre from those of the others; needs daemons with the test hook. */
struct PartitionStep {
    int dataCentre_ = 0;
};

/** Ends all partitions. */
struct HealPartitionStep {
};

/** Writes the current configuration unchanged as a new version. */
struct ConfigureStep {
};

/** Cancels a share of the accepted jobs that have not ended. */
struct CancelJobsStep {
    double share_ = 0;
};

using Step = std::variant<SetFaultsStep, TakeOutStep, ReturnStep, LeaveMinionsStep, PartitionStep, HealPartitionStep, ConfigureStep, CancelJobsStep>;

/** A step with its offset from the start of the repeat. */
struct TimedStep {
    Duration at_ { 0 };
    Step step_;
};

/** A policy under which the experiment is run, for comparison with other variants. */
struct PolicyVariant {
    std::string name_;
    /** Members to set in the policy of the configuration. */
    JsonValue policy_;
};

/** Definition of an experiment, independent of the deployment. */
struct Experiment {
    std::string name_;
    std::uint64_t seed_ = 1;
    /** Time in which requests and jobs arrive. */
    Duration duration_ { 0 };
    /** Maximum wait for open jobs afterwards. */
    Duration drainTime_ { 0 };
    int repeats_ = 1;
    double requestRateFactor_ = 1;
    double jobRateFactor_ = 1;
    /** Each thread has one request in progress, so this also limits concurrent requests. */
    int senderThreads_ = 96;
    std::vector<Burst> bursts_;
    /** Sorted by time. */
    std::vector<TimedStep> steps_;
    /** If empty, the current policy is used. */
    std::vector<PolicyVariant> variants_;
};

/** Parses an experiment and reports all errors. */
ValidationResult<Experiment> parseExperiment(const JsonValue&);

}
