#include "membership/membershipcore.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    constexpr Duration minHeartbeatInterval { std::chrono::seconds(1) };
    constexpr Duration heartbeatIntervalPerInstance { std::chrono::milliseconds(200) };
    constexpr Duration maxHeartbeatInterval { std::chrono::seconds(2) };
    constexpr Duration summaryInterval { std::chrono::seconds(2) };
    /** Minimum time between two expedited heartbeats or summaries, so that bursts of changes are sent together. */
    constexpr Duration minUpdateInterval { std::chrono::milliseconds(200) };
    /** An instance without a sign of life for this long counts as dead. */
    constexpr Duration heartbeatTimeout { std::chrono::seconds(5) };
    /** A data centre that was not confirmed for this long counts as unreachable. */
    constexpr Duration dataCentreTimeout { std::chrono::seconds(10) };
    /** An unlisted instance without a sign of life is removed after this time. */
    constexpr Duration removalTimeout { std::chrono::seconds(30) };
    constexpr Duration minPullInterval { std::chrono::milliseconds(300) };
    constexpr std::size_t gatewaysPerDataCentre = 2;
    constexpr std::size_t maxTombstones = 1000;
    constexpr std::size_t maxSentHeartbeats = 64;

    /** Incremental 64-bit FNV-1a hash. */
    class Digest {
    public:
        void add(const std::string& text)
        {
            add(text.size());
            for (const char character : text)
                addByte(static_cast<unsigned char>(character));
        }

        void add(std::uint64_t number)
        {
            for (int byte = 0; byte < 8; ++byte)
                addByte(static_cast<unsigned char>(number >> (8U * static_cast<unsigned>(byte))));
        }

        std::uint64_t value() const { return value_; }

    private:
        void addByte(unsigned char byte)
        {
            value_ ^= byte;
            value_ *= 0x100000001b3U;
        }

        std::uint64_t value_ = 0xcbf29ce484222325U;
    };

}

std::uint64_t membersDigest(const std::vector<MemberRecord>& members)
{
    Digest digest;
    for (const MemberRecord& member : members) {
        digest.add(member.id_.value());
        digest.add(member.peerAddress_.ip_);
        digest.add(member.peerAddress_.port_);
        digest.add(member.incarnation_);
        digest.add(member.isLeaving_ ? 1 : 0);
        digest.add(member.state_.configurationVersion_);
        digest.add(member.state_.dataCentreVersion_);
        digest.add(member.state_.leaseEpoch_);
        digest.add(member.state_.leaseHolder_.ip_);
        digest.add(member.state_.leaseHolder_.port_);
        for (const MinionId& minion : member.state_.leavingMinions_)
            digest.add(minion.value());
        digest.add(member.state_.participantsDigest_);
    }
    return digest.value();
}

MembershipCore::MembershipCore(MembershipOptions options)
    : self_(std::move(options.self_))
    , topology_(options.topology_)
{
}

std::vector<MembershipAction> MembershipCore::apply(const MembershipEvent& event, Time now)
{
    Actions actions;
    std::visit([&](const auto& specific) { on(specific, now, actions); }, event);
    return actions;
}

void MembershipCore::on(const PeerMessageReceived& received, Time now, Actions& actions)
{
    if (received.message_.sender_ == self_.id_)
        return;
    std::visit([&](const auto& content) { receive(received.message_.sender_, content, now, actions); }, received.message_.content_);
}

void MembershipCore::on(const InstancesListed& listed, Time, Actions& actions)
{
    listedInstances_.clear();
    for (const ListedInstance& instance : listed.instances_) {
        if (instance.role_ == InstanceRole::Entry)
            listedInstances_[InstanceId(instance.id_)] = instance;
    }
    for (auto& [id, member] : members_)
        member.isListed_ = listedInstances_.count(id) != 0;
    for (const auto& [id, instance] : listedInstances_) {
        const bool exchangesHeartbeats = instance.dataCentre_ == self_.dataCentre_ || topology_ == Topology::Flat;
        if (id == self_.id_ || !exchangesHeartbeats || members_.count(id) != 0)
            continue;
        Member& member = members_[id];
        member.record_.id_ = id;
        member.record_.dataCentre_ = instance.dataCentre_;
        member.record_.peerAddress_ = instance.peerAddress_;
        member.isListed_ = true;
        actions.emplace_back(ViewChanged {});
    }
}

void MembershipCore::on(const LocalStateChanged& changed, Time now, Actions& actions)
{
    if (self_.state_ == changed.state_)
        return;
    self_.state_ = changed.state_;
    expediteUpdates(now);
    actions.emplace_back(ViewChanged {});
}

void MembershipCore::on(const LeaveAnnounced&, Time now, Actions& actions)
{
    self_.isLeaving_ = true;
    sendHeartbeat(now, actions);
    if (isGateway(now))
        sendSummary(true, now, actions);
    actions.emplace_back(ViewChanged {});
}

void MembershipCore::on(const MembershipTick&, Time now, Actions& actions)
{
    removeDeadMembers(now, actions);
    if (now >= nextHeartbeatAt_)
        sendHeartbeat(now, actions);
    if (now < nextSummaryAt_)
        return;
    nextSummaryAt_ = now + summaryInterval;
    if (topology_ == Topology::Hierarchical && isGateway(now))
        sendSummary(hasUnsentChanges_, now, actions);
    hasUnsentChanges_ = false;
}

void MembershipCore::receive(const InstanceId& sender, const Heartbeat& heartbeat, Time now, Actions& actions)
{
    if (heartbeat.member_.id_ != sender)
        return;
    const bool exchangesHeartbeats = isLocal(heartbeat.member_) || topology_ == Topology::Flat;
    if (exchangesHeartbeats) {
        mergeRecord(heartbeat.member_, now, actions);
        for (const ReceivedHeartbeat& received : heartbeat.received_) {
            if (received.id_ == self_.id_)
                applyAcknowledgement(received);
            const auto member = members_.find(received.id_);
            const std::pair<std::uint64_t, std::uint64_t> newest { received.incarnation_, received.sequence_ };
            if (member == members_.end() || newest <= member->second.newestHeartbeat_)
                continue;
            member->second.newestHeartbeat_ = newest;
            member->second.lastHeardAt_ = now;
        }
    }
    for (const SummaryHead& head : heartbeat.heads_)
        mergeHead(sender, heartbeat.member_.peerAddress_, head, now, actions);
}

void MembershipCore::receive(const InstanceId&, const DataCentreSummary& summary, Time now, Actions& actions)
{
    if (summary.dataCentre_ == self_.dataCentre_)
        return;
    RemoteDataCentre& remote = remoteDataCentres_[summary.dataCentre_];
    const Time summaryAt = now - summary.age_;
    if (summaryAt < remote.summaryAt_)
        return;
    remote.summaryAt_ = summaryAt;
    remote.confirmedAt_ = std::max(remote.confirmedAt_, summaryAt);
    const std::uint64_t digest = membersDigest(summary.members_);
    if (digest == remote.digest_)
        return;
    remote.digest_ = digest;
    remote.members_ = summary.members_;
    // A gateway forwards the change to its own data centre at once.
    if (isGateway(now))
        expediteUpdates(now);
    actions.emplace_back(ViewChanged {});
}

void MembershipCore::receive(const InstanceId& sender, const SummaryPull& pull, Time now, Actions& actions)
{
    const Address address = addressOf(sender);
    if (address.ip_.empty())
        return;
    if (pull.dataCentre_ == self_.dataCentre_) {
        actions.emplace_back(SendToPeer { sender, address, DataCentreSummary { self_.dataCentre_, Duration::zero(), localMembers(now) } });
        return;
    }
    const auto remote = remoteDataCentres_.find(pull.dataCentre_);
    if (remote == remoteDataCentres_.end() || remote->second.digest_ == 0)
        return;
    const Duration age = now - remote->second.summaryAt_;
    actions.emplace_back(SendToPeer { sender, address, DataCentreSummary { pull.dataCentre_, age, remote->second.members_ } });
}

void MembershipCore::receive(const InstanceId&, const LoanRequest&, Time, Actions&)
{
    // The service passes loan messages to the minion limiter.
}

void MembershipCore::receive(const InstanceId&, const LoanGrant&, Time, Actions&)
{
}

void MembershipCore::applyAcknowledgement(const ReceivedHeartbeat& acknowledgement)
{
    if (acknowledgement.incarnation_ != self_.incarnation_)
        return;
    for (const auto& [sequence, sentAt] : sentHeartbeats_) {
        if (sequence == acknowledgement.sequence_)
            acknowledgedAt_ = std::max(acknowledgedAt_, sentAt);
    }
}

void MembershipCore::mergeRecord(const MemberRecord& record, Time now, Actions& actions)
{
    const std::pair<std::uint64_t, std::uint64_t> newest { record.incarnation_, record.sequence_ };
    const auto tombstone = tombstones_.find(record.id_);
    if (tombstone != tombstones_.end() && newest <= tombstone->second)
        return;
    const auto [position, isNew] = members_.try_emplace(record.id_);
    Member& member = position->second;
    if (!isNew && !record.isNewerThan(member.record_))
        return;
    MemberRecord previous = member.record_;
    previous.sequence_ = record.sequence_;
    const bool isChanged = isNew || previous != record;
    member.record_ = record;
    member.isListed_ = listedInstances_.count(record.id_) != 0;
    if (newest > member.newestHeartbeat_) {
        member.newestHeartbeat_ = newest;
        member.lastHeardAt_ = now;
    }
    if (!isChanged && member.wasAlive_)
        return;
    member.wasAlive_ = true;
    actions.emplace_back(ViewChanged {});
    // A gateway announces the change to the other data centres at once.
    hasUnsentChanges_ = true;
    if (isGateway(now))
        nextSummaryAt_ = std::min(nextSummaryAt_, std::max(now, lastSummaryAt_ + minUpdateInterval));
}

void MembershipCore::mergeHead(const InstanceId& sender, const Address& senderAddress, const SummaryHead& head, Time now, Actions& actions)
{
    if (head.dataCentre_ == self_.dataCentre_)
        return;
    RemoteDataCentre& remote = remoteDataCentres_[head.dataCentre_];
    const Time confirmedAt = now - head.age_;
    if (confirmedAt < remote.confirmedAt_)
        return;
    remote.confirmedAt_ = confirmedAt;
    if (head.digest_ == remote.digest_) {
        remote.summaryAt_ = confirmedAt;
        return;
    }
    if (now < remote.lastPullAt_ + minPullInterval)
        return;
    remote.lastPullAt_ = now;
    actions.emplace_back(SendToPeer { sender, senderAddress, SummaryPull { head.dataCentre_ } });
}

void MembershipCore::sendHeartbeat(Time now, Actions& actions)
{
    lastHeartbeatAt_ = now;
    nextHeartbeatAt_ = now + heartbeatInterval();
    ++self_.sequence_;
    sentHeartbeats_.emplace_back(self_.sequence_, now);
    if (sentHeartbeats_.size() > maxSentHeartbeats)
        sentHeartbeats_.pop_front();
    Heartbeat heartbeat;
    heartbeat.member_ = self_;
    if (topology_ == Topology::Hierarchical) {
        for (const auto& [id, member] : members_) {
            if (isAlive(member, now))
                heartbeat.received_.push_back({ id, member.newestHeartbeat_.first, member.newestHeartbeat_.second });
        }
        // Only gateways receive summaries of other data centres directly.
        if (isGateway(now))
            heartbeat.heads_ = remoteHeads(now);
    }
    for (const auto& [id, member] : members_)
        actions.emplace_back(SendToPeer { id, member.record_.peerAddress_, heartbeat });
}

Duration MembershipCore::heartbeatInterval() const
{
    // A longer interval with many peers bounds the traffic of an instance.
    const Duration interval = heartbeatIntervalPerInstance * static_cast<Duration::rep>(members_.size() + 1);
    return std::min(std::max(interval, minHeartbeatInterval), maxHeartbeatInterval);
}

void MembershipCore::sendSummary(bool hasChanges, Time now, Actions& actions)
{
    lastSummaryAt_ = now;
    ++sentSummaries_;
    nextSummaryAt_ = now + summaryInterval;
    Heartbeat heartbeat;
    heartbeat.member_ = self_;
    heartbeat.heads_.push_back({ self_.dataCentre_, membersDigest(localMembers(now)), Duration::zero() });
    for (const DataCentreId& dataCentre : otherDataCentres()) {
        const auto gateways = gatewaysOf(dataCentre, now);
        // Changes go to all gateways, keep-alives to one gateway in rotation.
        for (std::size_t index = 0; index < gateways.size(); ++index) {
            if (hasChanges || index == sentSummaries_ % gateways.size())
                actions.emplace_back(SendToPeer { gateways[index].first, gateways[index].second, heartbeat });
        }
    }
}

void MembershipCore::removeDeadMembers(Time now, Actions& actions)
{
    for (auto position = members_.begin(); position != members_.end();) {
        Member& member = position->second;
        const bool isDead = !isAlive(member, now);
        if (member.wasAlive_ && isDead) {
            member.wasAlive_ = false;
            actions.emplace_back(ViewChanged {});
        }
        const bool hasLeft = member.record_.isLeaving_ && isDead;
        const bool isRemovable = !member.isListed_ && (hasLeft || now > member.lastHeardAt_ + removalTimeout);
        if (!isRemovable) {
            ++position;
            continue;
        }
        if (tombstones_.size() >= maxTombstones)
            tombstones_.erase(tombstones_.begin());
        tombstones_[position->first] = member.newestHeartbeat_;
        position = members_.erase(position);
        actions.emplace_back(ViewChanged {});
    }
}

void MembershipCore::expediteUpdates(Time now)
{
    nextHeartbeatAt_ = std::min(nextHeartbeatAt_, std::max(now, lastHeartbeatAt_ + minUpdateInterval));
    hasUnsentChanges_ = true;
    if (isGateway(now))
        nextSummaryAt_ = std::min(nextSummaryAt_, std::max(now, lastSummaryAt_ + minUpdateInterval));
}

bool MembershipCore::isAlive(const Member& member, Time now) const
{
    return member.newestHeartbeat_.second != 0 && now < member.lastHeardAt_ + heartbeatTimeout;
}

bool MembershipCore::isGateway(Time now) const
{
    std::size_t precedingMembers = 0;
    for (const auto& [id, member] : members_) {
        if (id < self_.id_ && isAlive(member, now) && !member.record_.isLeaving_ && isLocal(member.record_))
            ++precedingMembers;
    }
    return precedingMembers < gatewaysPerDataCentre;
}

bool MembershipCore::isLocal(const MemberRecord& record) const
{
    return record.dataCentre_ == self_.dataCentre_;
}

Address MembershipCore::addressOf(const InstanceId& id) const
{
    const auto member = members_.find(id);
    if (member != members_.end())
        return member->second.record_.peerAddress_;
    for (const auto& [dataCentre, remote] : remoteDataCentres_) {
        for (const MemberRecord& record : remote.members_) {
            if (record.id_ == id)
                return record.peerAddress_;
        }
    }
    const auto listed = listedInstances_.find(id);
    return listed == listedInstances_.end() ? Address() : listed->second.peerAddress_;
}

std::vector<MemberRecord> MembershipCore::localMembers(Time now) const
{
    std::vector<MemberRecord> members { self_ };
    for (const auto& [id, member] : members_) {
        if (isLocal(member.record_) && isAlive(member, now))
            members.push_back(member.record_);
    }
    std::sort(members.begin(), members.end(), [](const MemberRecord& first, const MemberRecord& second) { return first.id_ < second.id_; });
    return members;
}

std::vector<SummaryHead> MembershipCore::remoteHeads(Time now) const
{
    std::vector<SummaryHead> heads;
    for (const auto& [dataCentre, remote] : remoteDataCentres_) {
        if (remote.digest_ != 0 && now < remote.confirmedAt_ + dataCentreTimeout)
            heads.push_back({ dataCentre, remote.digest_, now - remote.confirmedAt_ });
    }
    return heads;
}

std::vector<std::pair<InstanceId, Address>> MembershipCore::gatewaysOf(const DataCentreId& dataCentre, Time now) const
{
    std::vector<std::pair<InstanceId, Address>> gateways;
    const auto remote = remoteDataCentres_.find(dataCentre);
    if (remote != remoteDataCentres_.end() && now < remote->second.confirmedAt_ + dataCentreTimeout) {
        for (const MemberRecord& record : remote->second.members_) {
            if (!record.isLeaving_ && gateways.size() < gatewaysPerDataCentre)
                gateways.emplace_back(record.id_, record.peerAddress_);
        }
        return gateways;
    }
    // Without a recent summary, listed instances are tried in rotation, as some may be dead.
    for (const auto& [id, instance] : listedInstances_) {
        if (instance.dataCentre_ == dataCentre)
            gateways.emplace_back(id, instance.peerAddress_);
    }
    if (gateways.size() > gatewaysPerDataCentre) {
        const auto offset = static_cast<std::ptrdiff_t>(self_.sequence_ % gateways.size());
        std::rotate(gateways.begin(), gateways.begin() + offset, gateways.end());
        gateways.resize(gatewaysPerDataCentre);
    }
    return gateways;
}

std::vector<DataCentreId> MembershipCore::otherDataCentres() const
{
    std::set<DataCentreId> dataCentres;
    for (const auto& [id, instance] : listedInstances_)
        dataCentres.insert(instance.dataCentre_);
    for (const auto& [dataCentre, remote] : remoteDataCentres_)
        dataCentres.insert(dataCentre);
    dataCentres.erase(self_.dataCentre_);
    return { dataCentres.begin(), dataCentres.end() };
}

Time MembershipCore::nextTick() const
{
    return std::min(nextHeartbeatAt_, nextSummaryAt_);
}

MembershipView MembershipCore::view(Time now) const
{
    MembershipView view;
    view.self_ = self_.id_;
    view.dataCentre_ = self_.dataCentre_;
    view.isGateway_ = isGateway(now);
    view.acknowledgedAt_ = acknowledgedAt_;
    view.members_[self_.id_] = { self_, now, listedInstances_.count(self_.id_) != 0, true };
    for (const auto& [dataCentre, remote] : remoteDataCentres_) {
        view.dataCentreConfirmedAt_[dataCentre] = remote.confirmedAt_;
        const bool isReachable = now < remote.confirmedAt_ + dataCentreTimeout;
        for (const MemberRecord& record : remote.members_)
            view.members_[record.id_] = { record, remote.confirmedAt_, listedInstances_.count(record.id_) != 0, isReachable };
    }
    for (const auto& [id, member] : members_)
        view.members_[id] = { member.record_, member.lastHeardAt_, member.isListed_, isAlive(member, now) };
    return view;
}

}
