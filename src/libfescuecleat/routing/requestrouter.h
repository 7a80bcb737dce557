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

/** Who this router is. */
struct RouterIdentity {
    InstanceId instance_;
    DataCentreId dataCentre_;
    /** Differs for every start of the process. */
    std::uint64_t seed_ = 0;
};

/**
 * Takes callers' requests to minions. Each service is a shard under its own
 * lock; the list of shards has a reader-writer lock that is taken first and
 * never while a shard's lock is held. Thread-safe.
 */
class RequestRouter {
public:
    /** The interfaces outlive the router. */
    RequestRouter(HttpClient&, Table&, ObjectStore&, RouterIdentity);
    ~RequestRouter();
    RequestRouter(const RequestRouter&) = delete;
    RequestRouter& operator=(const RequestRouter&) = delete;

    /** Blocks until the outcome, at the latest shortly after the request's deadline. */
    RequestOutcome route(const ServiceRequest&);

    /** Services and their limits; a service that isn't named is refused from now on. */
    void configure(const std::vector<ServiceConfiguration>&);

    /** Takes the minions out of the instance list; other roles are ignored. */
    void setMinions(const std::vector<ListedInstance>&);

    /** A peer saw that the minion is leaving. */
    void noteLeaving(const MinionId&);

    /** Minions that said themselves that they leave, for peers. */
    std::set<MinionId> leavingMinions() const;

    /** From now on the slots come from setAllowances() only. */
    void beginSharing();
    void setAllowances(const std::map<MinionId, SlotAllowance>&);

    /** The slots in use and those wanted, over all services. */
    SlotUsage slotUsage() const;

    /** Refuses new requests; those in progress go on. */
    void beginStop();

    /** Requests in progress and claims not yet recorded; 0 means that nothing is lost by exiting. */
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

    RequestOutcome decide(const ServiceRequest&);
    RequestOutcome runIdempotent(Service&, const ServiceRequest&);
    RequestOutcome runOnce(Service&, const ServiceRequest&);
    RequestOutcome dispatchOnce(Service&, const ServiceRequest&);
    RequestOutcome waitForRecord(const ServiceRequest&);
    RequestOutcome outcomeOf(const ClaimResult&, Service&, const ServiceRequest&);
    AttemptResult attempt(Service&, const ServiceRequest&, const SendToMinion&);
    NotRun notRun(const std::string& reason);
    void noteLeavingWord(Service&, const MinionId&);
    void count(const RequestOutcome&);
    JsonValue dumpCounters() const;

    ServicePointer find(const ServiceId&) const;
    std::vector<ServicePointer> services() const;
    void giveMinions(Service&, const std::vector<ListedInstance>&);
    void tick();
    void watchLeaving();
    bool saysItStays(const Minion&);

    HttpClient& client_;
    RouterIdentity identity_;
    ClaimStore claims_;
    RouterCounters counters_;
    std::atomic<bool> isStopping_ { false };
    std::atomic<bool> isSharing_ { false };
    std::atomic<std::size_t> inProgress_ { 0 };
    std::atomic<std::uint64_t> spread_ { 0 };

    mutable std::shared_mutex servicesMutex_;
    std::map<ServiceId, ServicePointer> services_;
    std::vector<ListedInstance> listed_;

    mutable std::mutex leavingMutex_;
    std::set<MinionId> leaving_;

    std::mutex tickMutex_;
    std::condition_variable tickStop_;
    bool isTickStopping_ = false;
    std::thread ticker_;
    std::thread leavingWatcher_;
};

}
