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
 * Publishes to the peers which configuration version this instance has in force
 * and whether it holds the lease, and reads the same from them. Thread-safe.
 */
class PeerCoordinator {
public:
    /** All references must outlive the coordinator. */
    PeerCoordinator(const Settings&, ConfigurationWatcher&, MembershipService&, const LeaseService&);
    ~PeerCoordinator();

    PeerCoordinator(const PeerCoordinator&) = delete;
    PeerCoordinator& operator=(const PeerCoordinator&) = delete;

    /** The version that all live instances of this data centre have reached: the lowest that any has in force. */
    std::uint64_t versionInForceInDataCentre() const;

    /** Caller address of the instance that schedules the data centre, as published by the peers; no value if none has. */
    std::optional<Address> schedulerOf(const DataCentreId&) const;

private:
    void run();
    void receiveVersions();
    void publishOwnState();

    const Settings settings_;
    ConfigurationWatcher& watcher_;
    MembershipService& membership_;
    const LeaseService& lease_;
    std::atomic<bool> isStopping_ { false };
    std::thread thread_;
};

}
