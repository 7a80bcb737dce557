#pragma once

#include "base/result.h"
#include "base/time.h"
#include "net/socketaddress.h"
#include "node/storelimits.h"
#include "pool/stopcosts.h"

#include <cstdint>
#include <optional>
#include <string>

namespace fescuecleat {

/** The settings that an instance reads at its start. */
struct InstanceSettings {
    std::string instance_;
    std::string dataCentre_;
    /** Listens for callers. */
    SocketAddress callers_;
    /** Listens for the load balancer's readiness probes. */
    SocketAddress readiness_;
    /** Listens for other instances, and serves metrics. */
    SocketAddress peers_;
    SocketAddress store_;
    StoreLimits storeLimits_;
    /** Share of one processor that the instance may use. */
    double processorShare_ = 1;
    /** Memory that the instance may use. */
    std::int64_t memoryMb_ = 256;
    /** The longest lease that workers grant. */
    Duration maxWorkerLease_ {};
    /** A revoked API key must be refused within this time. */
    Duration revocationLimit_ {};
    /** Jobs within their organisation's guarantee must start within this time. */
    Duration guaranteeLimit_ = std::chrono::milliseconds(2700);
    /** What stopping a task costs; if unset, preemption uses fixed assumptions. */
    std::optional<StopCosts> stopCosts_;
    /** Window over which the rate of an organisation's submissions is counted. */
    Duration submissionWindow_ = std::chrono::seconds(5);
    /** Longest delay after which a worker may still execute a request that it left without an answer. */
    Duration maxRequestDelay_ = std::chrono::seconds(12);
    /** Callers may ask for the state of an ended job for this long. */
    Duration endedJobTime_ = std::chrono::seconds(120);
    /** No start on a worker may occur later than this after the registry shows that it drains; zero if nothing is checked. */
    Duration drainLimit_ {};
    /** No start in a data centre may occur later than this after the operator's row that closes it; zero if nothing is checked. */
    Duration closureLimit_ {};
    /** No start of a job may occur later than this after its cancellation; zero if nothing is checked. */
    Duration cancelLimit_ {};
    /** Refuses submissions that would certainly end after their credit has expired. */
    bool refusesHopelessJobs_ = false;
    /** Postpones the jobs whose delay costs callers least while not all can be in time. */
    bool usesOverloadOrder_ = false;
    /** Time between the stop signal and the kill. */
    Duration stopLimit_ {};

    /** The most runs that the instance may have at a time as the scheduler. */
    std::size_t runLimit() const;
};

/** Parses settings: JSON with comments. Ignores unknown members; fails if a required one is missing or invalid. */
Result<InstanceSettings> parseInstanceSettings(const std::string& text);

}
