#pragma once

#include "base/time.h"
#include "pool/poolscheduler.h"
#include "pool/poolworkerreport.h"
#include "pool/taskid.h"
#include "pool/workerinfo.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace fescuecleat {

/** A worker's clock may be this much slower than ours. */
constexpr double workerClockDrift = 0.02;

enum class WorkerFailure {
    /** No answer: the order may be carried out, now or later. */
    NoAnswer,
    /** The worker certainly did nothing. */
    NotSent,
    /** Another life of the worker answered. */
    OtherLife,
    /** A newer scheduler gives orders to this worker. */
    FenceIsOld,
    /** An answer that can't be read, or a refusal without a known reason. */
    Unreadable,
};

/** Asks a worker what it runs and prolongs the lease of all that runs there. */
struct HoldOrder {
    std::int64_t fence_ = 0;
    /** Ends up to this number are stored and may be forgotten. */
    std::int64_t seenEnds_ = 0;
    /** Until when, on the worker's clock, everything there may run; nothing: as it is. */
    std::optional<std::int64_t> leaseUntilMs_;
    /** The answer may wait this long for an end. */
    Duration wait_ {};
};

struct StartOrder {
    RunId run_;
    std::string payload_;
    std::int64_t leaseUntilMs_ = 0;
    std::int64_t fence_ = 0;
    std::string checkpoint_;
};

struct StopOrder {
    RunId run_;
    std::int64_t fence_ = 0;
};

/** Gives orders to workers. */
class PoolWorkerClient {
public:
    using HoldHandler = std::function<void(tl::expected<PoolWorkerReport, WorkerFailure>)>;
    using StartHandler = std::function<void(tl::expected<StartAnswer, WorkerFailure>)>;
    using StopHandler = std::function<void(tl::expected<void, WorkerFailure>)>;

    virtual ~PoolWorkerClient() = default;
    virtual void hold(const WorkerInfo&, const HoldOrder&, Duration timeLimit, HoldHandler) = 0;
    virtual void start(const WorkerInfo&, const StartOrder&, Duration timeLimit, StartHandler) = 0;
    virtual void stop(const WorkerInfo&, const StopOrder&, Duration timeLimit, StopHandler) = 0;
};

const char* workerFailureName(WorkerFailure);

}
