#include "daemon/peercoordinator.h"

#include "control/appliedconfiguration.h"

#include <vector>

namespace fescuecleat {

namespace {

    /** Changes are published and received within this time. */
    constexpr Duration pollInterval = std::chrono::milliseconds(50);

}

PeerCoordinator::PeerCoordinator(const Settings& settings, ConfigurationWatcher& watcher, MembershipService& membership, const LeaseService& lease)
    : settings_(settings)
    , watcher_(watcher)
    , membership_(membership)
    , lease_(lease)
    , thread_([this] { run(); })
{
}

PeerCoordinator::~PeerCoordinator()
{
    isStopping_ = true;
    thread_.join();
}

std::uint64_t PeerCoordinator::versionInForceInDataCentre() const
{
    std::vector<std::uint64_t> versions { watcher_.version() };
    for (const MemberView& member : membership_.view()->aliveIn(settings_.dataCentre_)) {
        if (member.record_.id_ != settings_.instance_)
            versions.push_back(member.record_.state_.configurationVersion_);
    }
    return versionInForce(versions);
}

std::optional<Address> PeerCoordinator::schedulerOf(const DataCentreId& dataCentre) const
{
    std::uint64_t newest = 0;
    std::optional<Address> scheduler;
    for (const auto& [id, member] : membership_.view()->members_) {
        const LocalState& state = member.record_.state_;
        const bool isKnown = member.record_.dataCentre_ == dataCentre && state.leaseHolder_.port_ != 0;
        if (!isKnown || state.leaseEpoch_ < newest)
            continue;
        newest = state.leaseEpoch_;
        scheduler = state.leaseHolder_;
    }
    return scheduler;
}

void PeerCoordinator::run()
{
    while (!isStopping_) {
        receiveVersions();
        publishOwnState();
        std::this_thread::sleep_for(pollInterval);
    }
}

void PeerCoordinator::receiveVersions()
{
    const MembershipService::ViewPointer view = membership_.view();
    for (const auto& [id, member] : view->members_) {
        if (id != settings_.instance_ && member.isAlive_)
            watcher_.noteVersion(member.record_.state_.configurationVersion_);
    }
}

void PeerCoordinator::publishOwnState()
{
    const std::uint64_t version = watcher_.version();
    const ControlStatus lease = lease_.status(monotonicNow());
    const std::uint64_t epoch = lease.isHeld_ ? lease.fence_.epoch_ : 0;
    const Address holder = lease.isHeld_ ? settings_.callerAddress_ : Address {};
    const LocalState published = membership_.localState();
    if (published.configurationVersion_ == version && published.leaseEpoch_ == epoch && published.leaseHolder_ == holder)
        return;
    membership_.updateLocalState([&](LocalState& state) {
        state.configurationVersion_ = version;
        state.leaseEpoch_ = epoch;
        state.leaseHolder_ = holder;
    });
}

}
