#pragma once

#include "net/asynchttpclient.h"
#include "node/fakeworkers.h"
#include "node/jobapi.h"
#include "node/jobintake.h"
#include "node/nodecontext.h"
#include "node/poolcontroller.h"
#include "node/poolschedulerlease.h"
#include "poolmodel/fakerowstore.h"

#include <functional>
#include <memory>
#include <string>

namespace fescuecleat {

/** Decodes registry rows of the form "RACK BORN ready|draining [SERVICE LABEL]". */
class FakeRegistryFormat : public RegistryFormat {
public:
    std::string table() const override { return "registry"; }
    Result<WorkerInfo> decode(const StoredRow&) const override;
};

/** Ignores all operator rows. */
class FakeOperatorFormat : public OperatorFormat {
public:
    std::string table() const override { return "operator"; }
    OperatorChange decode(const StoredRow&) const override { return IgnoredRow {}; }
};

/** Accepts every body that doesn't begin with "bad", and encodes states and counts as numbers. */
class FakeCallerFormat : public CallerFormat {
public:
    Result<PoolJobSpec> decodeJob(const std::string& body) const override;
    std::string encodeState(PoolJobState state) const override { return std::to_string(static_cast<int>(state)); }
    std::string encodeWaiting(int jobs) const override { return std::to_string(jobs); }
    std::string apiKey(const ServerRequest& request) const override { return request.authorization_; }
    std::optional<Duration> callTimeout(const ServerRequest&) const override { return std::chrono::milliseconds(800); }
};

/** A scheduler that acquires the lease as soon as it is vacant. */
class SchedulerUnderTest {
public:
    /** Calls `prepare` with each controller before it starts. */
    SchedulerUnderTest(const NodeContext&, std::string instance, std::function<void(PoolController&)> prepare = nullptr);

    PoolController* controller() { return controller_.get(); }
    PoolSchedulerLease& lease() { return lease_; }

private:
    NodeContext context_;
    std::function<void(PoolController&)> prepare_;
    PoolSchedulerLease lease_;
    std::unique_ptr<PoolController> controller_;
};

/** Provides a store, workers and the services of an instance on one event loop. */
class PoolFixture {
public:
    PoolFixture();

    /** Runs the loop until the condition holds; returns false if it doesn't within `limit`. */
    bool runUntil(const std::function<bool()>&, Duration limit = std::chrono::seconds(8));
    void runFor(Duration);

    void addWorker(const std::string& id, const std::string& rack = "r0");
    /** Stores a job as JobApi does. */
    void submit(const std::string& id, const StepSpec&);
    std::unique_ptr<SchedulerUnderTest> scheduler(const std::string& instance);
    /** The state in the job's record; Queued if it has none. */
    PoolJobState recordedState(const std::string& id) const;

    boost::asio::io_context loop_;
    InstanceSettings settings_;
    JsonEventLog log_ { "test" };
    FakeRowStore store_ { loop_ };
    FakeWorkers workers_ { loop_ };
    FakeOperatorFormat operatorFormat_;
    FakeRegistryFormat registryFormat_;
    FakeCallerFormat callerFormat_;
    StoreClock clock_;
    NodeContext context_ { loop_, settings_, log_, store_, workers_, operatorFormat_, registryFormat_, callerFormat_, clock_ };
};

/** Names the service of the fixture's workers. */
PoolConfiguration testConfiguration();
StepSpec oneTask();
StepSpec gang(int tasks);
constexpr const char* jobId = "00000000000000aa";

}
