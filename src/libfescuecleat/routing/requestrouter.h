#pragma once

#include "http/httpclient.h"
#include "platform/instancelist.h"
#include "platform/objectstore.h"
#include "platform/table.h"
#include "routing/attemptresult.h"
#include "routing/claimstore.h"
#include "routing/minionlimiter.h"
#include "routing/requestoutcome.h"
#include "routing/routercounters.h"
#include "routing/servicerequest.h"
#include "routing/serviceshard.h"
#include "settings/configuration.h"
#include "json/json.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <shared_mutex>
#include <string>
#include <thread>
#include <vector>

namespace fescuecleat {

/** Identity of a router. */
struct RouterIdentity {
    InstanceId instance_;
    DataCentreId dataCentre_;
    /** Different for each start of the process. */
    std::uint64_t seed_ = 0;
};

/**
 * Routes callers' requests to minions. Each service has a shard with a lock of
 * its own. The map of services has a reader-writer lock that is taken before a
 * shard's lock, never while one is held. Thread-safe.
 */
class RequestRouter {
public:
    /** The interfaces must outlive the router. */
    RequestRouter(HttpClient&, Table&, ObjectStore&, RouterIdentity);
    ~RequestRouter();
    RequestRouter(const RequestRouter&) = delete;
    RequestRouter& operator=(const RequestRouter&) = delete;

    /** Blocks until the outcome is known, at most until shortly after the request's deadline. */
    RequestOutcome route(const ServiceRequest&);

    /** Replaces the services; requests to other ones are refused. */
    void configure(const std::vector<ServiceConfiguration>&);

    /** Updates the minions from the instance list; other roles are ignored. */
    void setMinions(const std::vector<ListedInstance>&);

    /** Records that a peer reported the minion as leaving. */
    void markLeaving(const MinionId&);

    /** Minions that reported to this instance that they are leaving, for peers. */
    std::set<MinionId> leavingMinions() const;

    /** From now on slots are available only through setAllowances(). */
    void beginSharing();
    void setAllowances(const std::map<MinionId, SlotAllowance>&);

    /** Slot usage and demand of all services. */
    SlotUsage slotUsage() const;

    /** Starts a graceful shutdown: new requests are refused, those in progress continue. */
    void beginStop();

    /** Requests in progress and pending claim writes; the process may exit without loss at 0. */
    std::size_t inProgress() const;

    const RouterCounters& counters() const { return counters_; }

    /** State of services and minions, for operators. */
    JsonValue dump() const;

private:
    struct Service {
        Service(const ServiceConfiguration&, DispatcherOptions, RouterCounters&);

        ServiceConfiguration configuration_;
        ServiceShard shard_;
    };
    using ServicePointer = std::shared_ptr<Service>;

    RequestOutcome handle(const ServiceRequest&);
    RequestOutcome runIdempotent(Service&, const ServiceRequest&);
    RequestOutcome runNonIdempotent(Service&, const ServiceRequest&);
    RequestOutcome dispatchClaimed(Service&, const ServiceRequest&);
    RequestOutcome waitForRecordedAnswer(const ServiceRequest&);
    RequestOutcome resolveClaim(const ClaimResult&, Service&, const ServiceRequest&);
    AttemptResult attempt(Service&, const ServiceRequest&, const SendToMinion&);
    NotRun notRun(const std::string& reason);
    void recordLeavingMinion(Service&, const MinionId&);
    void countOutcome(const RequestOutcome&);
    JsonValue dumpCounters() const;

    ServicePointer find(const ServiceId&) const;
    std::vector<ServicePointer> services() const;
    void applyMinions(Service&, const std::vector<ListedInstance>&);
    void tick();
    void pollLeavingMinions();
    bool confirmsStaying(const Minion&);

    HttpClient& client_;
    RouterIdentity identity_;
    ClaimStore claims_;
    RouterCounters counters_;
    std::atomic<bool> isStopping_ { false };
    std::atomic<bool> isSharing_ { false };
    std::atomic<std::size_t> inProgress_ { 0 };
    std::atomic<std::uint64_t> jitterSequence_ { 0 };

    mutable std::shared_mutex servicesMutex_;
    std::map<ServiceId, ServicePointer> services_;
    std::vector<ListedInstance> listed_;

    mutable std::mutex leavingMutex_;
    std::set<MinionId> reportedLeaving_;

    std::mutex stopMutex_;
    std::condition_variable stopCondition_;
    bool isStopRequested_ = false;
    std::thread ticker_;
    std::thread leavingPoller_;
};

}
