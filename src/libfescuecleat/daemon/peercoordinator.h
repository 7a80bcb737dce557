#pragma once

#include "control/leaseservice.h"
#include "daemon/configurationwatcher.h"
#include "membership/membershipservice.h"
#include "settings/settings.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <thread>

namespace fescuecleat {

/**
 * Tells the peers which configuration is in force here and who schedules, and
 * takes in the same from them. Thread-safe.
 */
class PeerCoordinator {
public:
    /** All references outlive the coordinator. */
    PeerCoordinator(const Settings&, ConfigurationWatcher&, MembershipService&, const LeaseService&);
    ~PeerCoordinator();

    PeerCoordinator(const PeerCoordinator&) = delete;
    PeerCoordinator& operator=(const PeerCoordinator&) = delete;

    /** The configuration version that every live instance of this data centre has in force. */
    std::uint64_t versionInForceHere() const;

    /** Callers' address of the instance that schedules the data centre, as far as peers said; empty if nobody did. */
    std::optional<Address> schedulerOf(const DataCentreId&) const;

private:
    void run();
    void takeVersions();
    void tellOwnState();

    const Settings settings_;
    ConfigurationWatcher& watcher_;
    MembershipService& membership_;
    const LeaseService& lease_;
    std::atomic<bool> isStopping_ { false };
    std::thread thread_;
};

}
