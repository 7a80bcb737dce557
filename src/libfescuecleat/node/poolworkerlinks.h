#pragma once

#include "net/timer.h"
#include "node/nodecontext.h"
#include "node/poolschedulerlease.h"
#include "node/poolworkerlink.h"
#include "node/tablefollower.h"
#include "pool/poolscheduler.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescuecleat {

/** Follows the registry of workers, and keeps a link to each worker that the scheduler uses or that may have runs. */
class PoolWorkerLinks {
public:
    struct Listener {
        std::function<void(const WorkerKey&, const PoolWorkerReport&, Time askedAt)> reported_;
        std::function<bool()> isLeaseHeld_;
        /** Whether a request for the start of the run may be sent now. A start that is no longer permitted is given up. */
        std::function<bool(const RunId&)> mayStart_;
        /** Something suggests that another instance has taken the lease; only the store can tell. */
        std::function<void(const std::string& cause)> leaseDoubted_;
        /** The scheduler's state has changed. */
        std::function<void()> changed_;
    };

    PoolWorkerLinks(const NodeContext&, PoolScheduler&, const AcquiredLease&, Listener);

    void start() { registry_.start(); }
    /** Asks for the changes of the registry at once, after an outage of the store. */
    void refresh() { registry_.refresh(); }
    /** Whether the registry has been read. */
    bool isLoaded() const { return registry_.isLoaded(); }
    /** The registry is known as of this local time or later. */
    Time registryAsOf() const { return registry_.currentAsOf(); }
    /** Uses workers of these services, too, which a configuration or a job names. */
    void addServices(const std::set<std::string>&);
    /** Reviews the links if some time has passed since the last review. */
    void reviewIfDue(Time now);
    /** The link to this incarnation of a worker, or null. */
    PoolWorkerLink* find(const WorkerKey&);

private:
    /** An entry of the registry and the incarnation that it was taken to describe. */
    struct DecodedEntry {
        std::string value_;
        WorkerKey key_;
    };

    void handleRegistryReset(const std::vector<StoredRow>&);
    void handleRegistryRow(const StoredRow&);
    /** Whether the scheduler knows all that the row says, since only the heartbeat differs from the entry that was last decoded. */
    bool isOnlyHeartbeat(const StoredRow&);
    void noteDecoded(const StoredRow&, const WorkerKey&);
    /** Entries of services that nothing names are those of other systems. */
    void skipWorker(const StoredRow&, const std::string& service);
    /** `isRestarted`: requests to a former incarnation may still reach this one. */
    void openLink(const WorkerInfo&, bool isRestarted);
    void openQueuedLinks();
    PoolWorkerLink::Listener makeLinkListener(const std::string& id);
    /** Opens missing links, drops those of unknown workers and gives up runs of superseded incarnations. */
    void review();

    NodeContext context_;
    PoolScheduler& scheduler_;
    std::int64_t epoch_;
    /** Former lease holders may have renewed workers' leases until then. */
    Time formerHolderActiveUntil_;
    Listener listener_;
    TableFollower registry_;
    /** The services that a configuration or a job has named in this term. */
    std::set<std::string> services_;
    /** Registry entries of other services, by worker. */
    std::map<std::string, StoredRow> skippedWorkers_;
    /** The entries that were last decoded and used, by worker. */
    std::unordered_map<std::string, DecodedEntry> decodedEntries_;
    std::map<std::string, std::unique_ptr<PoolWorkerLink>> links_;
    /** Links that are still to be opened, in batches. */
    std::deque<std::string> linksToOpen_;
    Timer linkTimer_;
    Time reviewedAt_ {};
};

}
