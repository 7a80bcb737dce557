#pragma once

#include "net/timer.h"
#include "node/jobrecorder.h"
#include "node/lifetime.h"
#include "node/nodecontext.h"
#include "node/poolconfiguration.h"
#include "node/poolschedulerlease.h"
#include "node/poolworkerlink.h"
#include "node/tablefollower.h"
#include "pool/poolscheduler.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace fescuecleat {

/**
 * Runs the scheduler of the pool while this instance holds the lease: follows
 * jobs and workers, stores what is decided, then gives the orders.
 */
class PoolController {
public:
    struct Listener {
        std::function<bool()> isLeaseHeld_;
        std::function<void(const std::string& cause)> superseded_;
    };

    PoolController(const NodeContext&, const AcquiredLease&, Listener);
    ~PoolController();

    void start();
    void setConfiguration(const PoolConfiguration&);
    void setClosedDataCentres(const std::set<std::string>&);

    /** A row of the intake that an instance has stored; the feed brings it too, later or much later. */
    void intakeStored(const StoredRow&);

    /** The state of a job as stored; nothing if this instance does not know the job. */
    std::optional<PoolJobState> stateOf(const std::string& job) const;
    std::optional<int> waitingJobs(const std::string& queue) const;
    const PoolState& state() const { return scheduler_.state(); }
    std::size_t openJobs() const;

    static constexpr const char* summaryTable = "summary";
    static constexpr const char* summaryKey = "waiting";

private:
    void loadRecords(const std::string& from);
    void recordsLoaded();
    void intakeRow(const StoredRow&);
    void addJob(const std::string& id, const StoredRow&);
    void registryRow(const StoredRow&);
    void registryReset(const std::vector<StoredRow>&);
    void openLink(const WorkerInfo&);
    void openQueuedLinks();
    void jobStored(const std::string& job, PoolJobState);
    PoolWorkerLink* findLink(const WorkerKey&);
    PoolWorkerLink::Listener linkListener(const std::string& id);
    void dropIdleLinks();

    void wake();
    void pass();
    void decide();
    void noteDecisions();
    void sendStart(const StartDecision&);
    void writeSummary();
    void logEnds(const PoolWorkerReport&, const std::string& worker);

    NodeContext context_;
    std::int64_t epoch_;
    Listener listener_;
    PoolScheduler scheduler_;
    JobRecorder recorder_;
    TableFollower intake_;
    TableFollower registry_;
    Timer timer_;
    Lifetime lifetime_;
    /** Former schedulers may have prolonged leases of workers until then. */
    Time formerHolderUntil_ {};
    bool isPassPosted_ = false;
    bool isReady_ = false;

    std::map<std::string, PoolJobRecord> records_;
    std::set<std::string> cancelled_;
    std::map<std::string, std::string> payloads_;
    std::map<std::string, PoolJobState> storedStates_;
    std::map<std::string, std::unique_ptr<PoolWorkerLink>> links_;
    /** Links that are still to be opened after a takeover, a few at a time. */
    std::deque<std::string> linksToOpen_;
    Timer linkTimer_;
    std::map<std::string, int> summary_;
    Time summaryAt_ {};
};

}
