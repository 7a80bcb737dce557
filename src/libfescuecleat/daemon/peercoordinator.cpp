#include "daemon/peercoordinator.h"

#include "control/appliedconfiguration.h"
#include "daemon/wallclock.h"

#include <algorithm>
#include <stdexcept>

namespace fescuecleat {

namespace {

    /** News are passed on within this time. */
    constexpr Duration pollTime = std::chrono::milliseconds(50);

    std::unique_ptr<MembershipService> startService(const Settings& settings)
    {
        // The wall clock only has to be later than at the last start of this
        // instance; a replacement of it normally has another id anyway.
        auto service = MembershipService::start(settings, static_cast<std::uint64_t>(wallClockMillis()));
        if (!service)
            throw std::runtime_error(describe(service.error()));
        return std::move(*service);
    }

}

PeerCoordinator::PeerCoordinator(const Settings& settings, ConfigurationWatcher& watcher, RequestRouter& router, const LeaseService& lease)
    : settings_(settings)
    , watcher_(watcher)
    , router_(router)
    , lease_(lease)
    , service_(startService(settings))
{
    service_->addViewListener([this](const MembershipService::ViewPointer& view) { take(*view); });
    thread_ = std::thread([this] { run(); });
}

PeerCoordinator::~PeerCoordinator()
{
    isStopping_ = true;
    thread_.join();
    service_.reset();
}

std::uint64_t PeerCoordinator::versionInForceHere() const
{
    std::vector<std::uint64_t> versions { watcher_.version() };
    for (const MemberView& member : service_->view()->aliveIn(settings_.dataCentre_)) {
        if (member.record_.id_ != settings_.instance_)
            versions.push_back(member.record_.state_.configurationVersion_);
    }
    return versionInForce(versions);
}

std::optional<Address> PeerCoordinator::schedulerOf(const DataCentreId& dataCentre) const
{
    std::uint64_t newest = 0;
    std::optional<Address> scheduler;
    for (const auto& [id, member] : service_->view()->members_) {
        const LocalState& state = member.record_.state_;
        const bool isKnown = member.record_.dataCentre_ == dataCentre && state.leaseHolder_.port_ != 0;
        if (!isKnown || state.leaseEpoch_ < newest)
            continue;
        newest = state.leaseEpoch_;
        scheduler = state.leaseHolder_;
    }
    return scheduler;
}

bool PeerCoordinator::hasPeers() const
{
    const MembershipService::ViewPointer view = service_->view();
    return std::any_of(view->members_.begin(), view->members_.end(), [this](const auto& member) { return member.first != settings_.instance_ && member.second.isAlive_; });
}

void PeerCoordinator::run()
{
    while (!isStopping_) {
        const LocalState state = ownState();
        if (state != service_->localState())
            service_->setLocalState(state);
        std::this_thread::sleep_for(pollTime);
    }
}

void PeerCoordinator::take(const MembershipView& view)
{
    for (const auto& [id, member] : view.members_) {
        if (id == settings_.instance_ || !member.isAlive_)
            continue;
        watcher_.heardOf(member.record_.state_.configurationVersion_);
        for (const MinionId& minion : member.record_.state_.leavingMinions_)
            router_.noteLeaving(minion);
    }
}

LocalState PeerCoordinator::ownState() const
{
    LocalState state = service_->localState();
    state.configurationVersion_ = watcher_.version();
    state.leavingMinions_ = router_.leavingMinions();
    const ControlStatus lease = lease_.status(monotonicNow());
    state.leaseEpoch_ = lease.isHeld_ ? lease.fence_.epoch_ : 0;
    state.leaseHolder_ = lease.isHeld_ ? settings_.callerAddress_ : Address {};
    return state;
}

}
