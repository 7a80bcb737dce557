#pragma once

#include "net/asynchttpserver.h"
#include "net/timer.h"
#include "node/backlogview.h"
#include "node/explainapi.h"
#include "node/failoverrowstore.h"
#include "node/jobapi.h"
#include "node/lifetime.h"
#include "node/nodecontext.h"
#include "node/peerdirectory.h"
#include "node/peerrowstore.h"
#include "node/poolcontroller.h"
#include "node/poolschedulerlease.h"
#include "node/tablefollower.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace fescuecleat {

/** The paths to the store: the own one, the one over peers, and the failover between them. */
struct StorePaths {
    RowStore& own_;
    PeerRowStore& peers_;
    FailoverRowStore& failover_;
};

/** A pool daemon instance: serves callers, follows the configuration, and schedules while it holds the lease. */
class Instance {
public:
    Instance(const NodeContext&, const StorePaths&, AsyncHttpClient&);
    ~Instance();

    /** Opens the listeners; fails if an address can't be bound. */
    Result<void> start();
    /** Shuts down gracefully; calls `done` when all requests are answered or the stop limit is near. */
    void stop(std::function<void()> done);
    /** An exception has left a handler of the event loop. */
    void handleException(const std::string& cause);

private:
    void resetOperatorRows(const std::vector<StoredRow>&);
    void applyOperatorRow(const StoredRow&);
    void apply(const PoolConfiguration&);
    void apply(const DataCentreClosure&);
    bool isConfigurationCurrent() const;
    bool isReady() const;
    void leaseAcquired(const AcquiredLease&);
    void leaseLost();
    void leaseResumed();
    /** The controller, while the lease is held; a suspended holder answers callers as any other instance. */
    PoolController* activeController() const;
    void flushLog();
    void awaitIdle(Time deadline, std::function<void()> done);
    void handlePeerRequest(const ServerRequest&, const AsyncHttpServer::Respond&);
    void handlePeerStoreCall(const std::string& body, const AsyncHttpServer::Respond&);
    void notifyScheduler(const StoredRow&);
    void handleAnnouncement(const std::string& body, const AsyncHttpServer::Respond&);
    std::string metrics() const;

    NodeContext context_;
    StorePaths store_;
    std::shared_ptr<const PoolConfiguration> configuration_;
    std::set<std::string> closedDataCentres_;
    TableFollower operatorFollower_;
    PoolSchedulerLease lease_;
    std::unique_ptr<PoolController> controller_;
    PeerDirectory directory_;
    AsyncHttpClient& client_;
    BacklogView backlogView_;
    JobApi jobApi_;
    ExplainApi explainApi_;
    AsyncHttpServer callers_;
    AsyncHttpServer readiness_;
    /** Serves requests of peers, and metrics. */
    AsyncHttpServer peers_;
    Timer logTimer_;
    Timer stopTimer_;
    bool isStopping_ = false;
    std::uint64_t exceptions_ = 0;
    Lifetime lifetime_;
};

}
