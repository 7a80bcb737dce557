#pragma once

#include "control/leaseservice.h"
#include "daemon/configurationwatcher.h"
#include "membership/membershipservice.h"
#include "routing/requestrouter.h"
#include "settings/settings.h"

#include <atomic>
#include <memory>
#include <optional>
#include <thread>

namespace fescuecleat {

/**
 * Tells the peers what this instance knows and takes in what they know:
 * configuration versions, leaving minions, and who schedules each data centre.
 */
class PeerCoordinator {
public:
    /** All references outlive the coordinator. Throws std::runtime_error if the peer address can't be used. */
    PeerCoordinator(const Settings&, ConfigurationWatcher&, RequestRouter&, const LeaseService&);
    ~PeerCoordinator();

    PeerCoordinator(const PeerCoordinator&) = delete;
    PeerCoordinator& operator=(const PeerCoordinator&) = delete;

    void setListed(const std::vector<ListedInstance>& listed) { service_->setListed(listed); }
    void announceLeave() { service_->announceLeave(); }
    void setCut(std::set<InstanceId> instances) { service_->setCut(std::move(instances)); }

    /** The configuration version that every live instance of this data centre has in force. */
    std::uint64_t versionInForceHere() const;

    /** Callers' address of the instance that schedules the data centre, as far as peers said; empty if nobody did. */
    std::optional<Address> schedulerOf(const DataCentreId&) const;

    /** True once a peer answered. */
    bool hasPeers() const;

    JsonValue dump() const { return service_->dump(); }

private:
    void run();
    void take(const MembershipView&);
    LocalState ownState() const;

    const Settings settings_;
    ConfigurationWatcher& watcher_;
    RequestRouter& router_;
    const LeaseService& lease_;
    std::unique_ptr<MembershipService> service_;
    std::atomic<bool> isStopping_ { false };
    std::thread thread_;
};

}
