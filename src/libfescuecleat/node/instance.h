#pragma once

#include "net/asynchttpserver.h"
#include "net/timer.h"
#include "node/calleredge.h"
#include "node/failoverrowstore.h"
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

/** The ways to the store that an instance serves its peers with, or uses. */
struct StorePaths {
    RowStore& own_;
    PeerRowStore& peers_;
    FailoverRowStore& failover_;
};

/** One instance: takes calls, follows the configuration, and schedules while it holds the lease. */
class Instance {
public:
    Instance(const NodeContext&, const StorePaths&, AsyncHttpClient&);
    ~Instance();

    Result<void> start();
    /** Graceful shutdown; `done` is called when nothing is left to answer. */
    void stop(std::function<void()> done);

private:
    void operatorRows(const std::vector<StoredRow>&);
    void operatorRow(const StoredRow&);
    void apply(const PoolConfiguration&);
    void apply(const DataCentreClosure&);
    bool isConfigurationProven() const;
    bool isReady() const;
    void leaseAcquired(const AcquiredLease&);
    void leaseLost();
    void flushLog();
    void awaitIdle(Time deadline, std::function<void()> done);
    void handlePeer(const ServerRequest&, const AsyncHttpServer::Respond&);
    void handlePeersStoreCall(const std::string& body, const AsyncHttpServer::Respond&);
    void announce(const StoredRow&);
    void takeAnnouncement(const std::string& body, const AsyncHttpServer::Respond&);
    std::string metrics() const;

    NodeContext context_;
    StorePaths store_;
    std::shared_ptr<const PoolConfiguration> configuration_;
    std::set<std::string> closedDataCentres_;
    TableFollower operator_;
    PoolSchedulerLease lease_;
    std::unique_ptr<PoolController> controller_;
    PeerDirectory directory_;
    AsyncHttpClient& client_;
    CallerEdge edge_;
    AsyncHttpServer callers_;
    AsyncHttpServer readiness_;
    /** Peers' calls and metrics. */
    AsyncHttpServer peers_;
    Timer logTimer_;
    Timer stopTimer_;
    bool isStopping_ = false;
};

}
