#pragma once

#include "base/time.h"
#include "pool/poolscheduler.h"
#include "pool/poolworkerreport.h"
#include "pool/taskid.h"
#include "pool/workerinfo.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace fescuecleat {

/** A worker's clock may run slower than the local one by this ratio. */
constexpr double maxWorkerClockDriftRatio = 0.02;

/** Why a request to a worker failed. */
enum class WorkerFailure {
    /** No answer: the request may have been executed, or may be later. */
    NoAnswer,
    /** The worker has certainly not executed the request. */
    NotSent,
    /** Another incarnation of the worker answered. */
    OtherIncarnation,
    /** The worker has accepted requests of a scheduler with a higher epoch. */
    StaleEpoch,
    /** The answer can't be decoded, or is a refusal for an unknown reason. */
    Unreadable,
};

/** Polls a worker for its runs, and renews the lease of all of them. */
struct PollRequest {
    /** Epoch of the sender's lease; workers refuse requests with a lower epoch than they have seen. */
    std::int64_t epoch_ = 0;
    /** Ends up to this sequence number are stored; the worker may forget them. */
    std::int64_t acknowledgedEnds_ = 0;
    /** New expiry of the runs' lease by the worker's clock; without it the lease is not renewed. */
    std::optional<std::int64_t> leaseUntilMs_;
    /** The worker may delay its answer by this long until a run ends. */
    Duration wait_ {};
};

/** Starts a run. */
struct StartRequest {
    RunId run_;
    /** Shared, as the many tasks of a job wait for their requests with the same one. */
    std::shared_ptr<const std::string> payload_ = std::make_shared<const std::string>();
    /** Expiry of the lease by the worker's clock. */
    std::int64_t leaseUntilMs_ = 0;
    std::int64_t epoch_ = 0;
    std::string checkpoint_;
};

/** Stops a run, or prevents its start if it hasn't arrived yet. */
struct StopRequest {
    RunId run_;
    std::int64_t epoch_ = 0;
};

/** Sends requests to workers. */
class PoolWorkerClient {
public:
    using PollHandler = std::function<void(tl::expected<PoolWorkerReport, WorkerFailure>)>;
    using StartHandler = std::function<void(tl::expected<StartAnswer, WorkerFailure>)>;
    using StopHandler = std::function<void(tl::expected<void, WorkerFailure>)>;

    virtual ~PoolWorkerClient() = default;
    virtual void poll(const WorkerInfo&, const PollRequest&, Duration timeout, PollHandler) = 0;
    virtual void start(const WorkerInfo&, const StartRequest&, Duration timeout, StartHandler) = 0;
    virtual void stop(const WorkerInfo&, const StopRequest&, Duration timeout, StopHandler) = 0;
};

const char* workerFailureName(WorkerFailure);

}
