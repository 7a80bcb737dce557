#include "membership/membershipcore.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    constexpr Duration beatTime { std::chrono::seconds(1) };
    constexpr Duration beatTimePerPeer { std::chrono::milliseconds(200) };
    constexpr Duration longestBeatTime { std::chrono::seconds(2) };
    constexpr Duration summaryTime { std::chrono::seconds(2) };
    /** News wait for at most this long; many at once are sent together. */
    constexpr Duration hastyTime { std::chrono::milliseconds(200) };
    /** An instance that was not heard of for this long counts as dead. */
    constexpr Duration suspectTime { std::chrono::seconds(5) };
    /** A data centre that was not heard of for this long counts as cut off. */
    constexpr Duration cutOffTime { std::chrono::seconds(10) };
    /** An instance that is neither listed nor heard of is forgotten after this time. */
    constexpr Duration forgetTime { std::chrono::seconds(30) };
    constexpr Duration pullPause { std::chrono::milliseconds(300) };
    constexpr std::size_t gatewayCount = 2;
    constexpr std::size_t mostGone = 1000;
    constexpr std::size_t rememberedBeats = 64;

    /** FNV-1a over the parts of a digest. */
    class Digest {
    public:
        void add(const std::string& text)
        {
            add(text.size());
            for (const char character : text)
                step(static_cast<unsigned char>(character));
        }

        void add(std::uint64_t number)
        {
            for (int byte = 0; byte < 8; ++byte)
                step(static_cast<unsigned char>(number >> (8U * static_cast<unsigned>(byte))));
        }

        std::uint64_t value() const { return value_; }

    private:
        void step(unsigned char byte)
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
        digest.add(member.state_.shareView_);
    }
    return digest.value();
}

MembershipCore::MembershipCore(MembershipOptions options)
    : self_(std::move(options.self_))
    , arrangement_(options.arrangement_)
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
    listed_.clear();
    for (const ListedInstance& instance : listed.instances_) {
        if (instance.role_ == InstanceRole::Entry)
            listed_[InstanceId(instance.id_)] = instance;
    }
    for (auto& [id, member] : members_)
        member.isListed_ = listed_.count(id) != 0;
    for (const auto& [id, instance] : listed_) {
        const bool isNear = instance.dataCentre_ == self_.dataCentre_ || arrangement_ == Arrangement::Flat;
        if (id == self_.id_ || !isNear || members_.count(id) != 0)
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
    hasten(now);
    actions.emplace_back(ViewChanged {});
}

void MembershipCore::on(const LeaveAnnounced&, Time now, Actions& actions)
{
    self_.isLeaving_ = true;
    beat(now, actions);
    if (isGateway(now))
        summarise(true, now, actions);
    actions.emplace_back(ViewChanged {});
}

void MembershipCore::on(const MembershipTick&, Time now, Actions& actions)
{
    forgetTheGone(now, actions);
    if (now >= nextBeat_)
        beat(now, actions);
    if (now < nextSummary_)
        return;
    nextSummary_ = now + summaryTime;
    if (arrangement_ == Arrangement::Hierarchical && isGateway(now))
        summarise(hasNews_, now, actions);
    hasNews_ = false;
}

void MembershipCore::receive(const InstanceId& sender, const Heartbeat& heartbeat, Time now, Actions& actions)
{
    if (heartbeat.member_.id_ != sender)
        return;
    const bool isNear = isLocal(heartbeat.member_) || arrangement_ == Arrangement::Flat;
    if (isNear) {
        takeRecord(heartbeat.member_, now, actions);
        for (const HeardBeat& heard : heartbeat.heard_) {
            if (heard.id_ == self_.id_)
                takeAcknowledgement(heard);
            const auto member = members_.find(heard.id_);
            const std::pair<std::uint64_t, std::uint64_t> newest { heard.incarnation_, heard.beat_ };
            if (member == members_.end() || newest <= member->second.heardBeat_)
                continue;
            member->second.heardBeat_ = newest;
            member->second.heardAt_ = now;
        }
    }
    for (const SummaryHead& head : heartbeat.heads_)
        takeHead(sender, heartbeat.member_.peerAddress_, head, now, actions);
}

void MembershipCore::receive(const InstanceId&, const DataCentreSummary& summary, Time now, Actions& actions)
{
    if (summary.dataCentre_ == self_.dataCentre_)
        return;
    RemoteDataCentre& remote = remotes_[summary.dataCentre_];
    const Time summaryAt = now - summary.age_;
    if (summaryAt < remote.summaryAt_)
        return;
    remote.summaryAt_ = summaryAt;
    remote.freshAt_ = std::max(remote.freshAt_, summaryAt);
    const std::uint64_t digest = membersDigest(summary.members_);
    if (digest == remote.digest_)
        return;
    remote.digest_ = digest;
    remote.members_ = summary.members_;
    // A gateway tells its own data centre at once.
    if (isGateway(now))
        hasten(now);
    actions.emplace_back(ViewChanged {});
}

void MembershipCore::receive(const InstanceId& sender, const SummaryPull& pull, Time now, Actions& actions)
{
    const Address address = addressOf(sender);
    if (address.ip_.empty())
        return;
    if (pull.dataCentre_ == self_.dataCentre_) {
        actions.emplace_back(SendToPeer { sender, address, DataCentreSummary { self_.dataCentre_, Duration::zero(), ownMembers(now) } });
        return;
    }
    const auto remote = remotes_.find(pull.dataCentre_);
    if (remote == remotes_.end() || remote->second.digest_ == 0)
        return;
    const Duration age = now - remote->second.summaryAt_;
    actions.emplace_back(SendToPeer { sender, address, DataCentreSummary { pull.dataCentre_, age, remote->second.members_ } });
}

void MembershipCore::receive(const InstanceId&, const LoanRequest&, Time, Actions&)
{
    // Loans are the limiter's; the shell passes them there.
}

void MembershipCore::receive(const InstanceId&, const LoanGrant&, Time, Actions&)
{
}

void MembershipCore::takeAcknowledgement(const HeardBeat& heard)
{
    if (heard.incarnation_ != self_.incarnation_)
        return;
    for (const auto& [beat, sentAt] : sentBeats_) {
        if (beat == heard.beat_)
            acknowledgedAt_ = std::max(acknowledgedAt_, sentAt);
    }
}

void MembershipCore::takeRecord(const MemberRecord& record, Time now, Actions& actions)
{
    const std::pair<std::uint64_t, std::uint64_t> newest { record.incarnation_, record.beat_ };
    const auto gone = gone_.find(record.id_);
    if (gone != gone_.end() && newest <= gone->second)
        return;
    const auto [position, isNew] = members_.try_emplace(record.id_);
    Member& member = position->second;
    if (!isNew && !record.isNewerThan(member.record_))
        return;
    MemberRecord before = member.record_;
    before.beat_ = record.beat_;
    const bool isChanged = isNew || before != record;
    member.record_ = record;
    member.isListed_ = listed_.count(record.id_) != 0;
    if (newest > member.heardBeat_) {
        member.heardBeat_ = newest;
        member.heardAt_ = now;
    }
    if (!isChanged && member.wasAlive_)
        return;
    member.wasAlive_ = true;
    actions.emplace_back(ViewChanged {});
    // A gateway tells the other data centres at once.
    hasNews_ = true;
    if (isGateway(now))
        nextSummary_ = std::min(nextSummary_, std::max(now, summaryAt_ + hastyTime));
}

void MembershipCore::takeHead(const InstanceId& sender, const Address& senderAddress, const SummaryHead& head, Time now, Actions& actions)
{
    if (head.dataCentre_ == self_.dataCentre_)
        return;
    RemoteDataCentre& remote = remotes_[head.dataCentre_];
    const Time confirmedAt = now - head.age_;
    if (confirmedAt < remote.freshAt_)
        return;
    remote.freshAt_ = confirmedAt;
    if (head.digest_ == remote.digest_) {
        remote.summaryAt_ = confirmedAt;
        return;
    }
    if (now < remote.pulledAt_ + pullPause)
        return;
    remote.pulledAt_ = now;
    actions.emplace_back(SendToPeer { sender, senderAddress, SummaryPull { head.dataCentre_ } });
}

void MembershipCore::beat(Time now, Actions& actions)
{
    beatAt_ = now;
    nextBeat_ = now + beatPause();
    ++self_.beat_;
    sentBeats_.emplace_back(self_.beat_, now);
    if (sentBeats_.size() > rememberedBeats)
        sentBeats_.pop_front();
    Heartbeat heartbeat;
    heartbeat.member_ = self_;
    if (arrangement_ == Arrangement::Hierarchical) {
        for (const auto& [id, member] : members_) {
            if (isAlive(member, now))
                heartbeat.heard_.push_back({ id, member.heardBeat_.first, member.heardBeat_.second });
        }
        // Only gateways hear of other data centres themselves.
        if (isGateway(now))
            heartbeat.heads_ = remoteHeads(now);
    }
    for (const auto& [id, member] : members_)
        actions.emplace_back(SendToPeer { id, member.record_.peerAddress_, heartbeat });
}

Duration MembershipCore::beatPause() const
{
    // With many peers each hears less often, so that an instance's bytes stay bounded.
    const Duration pause = beatTimePerPeer * static_cast<Duration::rep>(members_.size() + 1);
    return std::min(std::max(pause, beatTime), longestBeatTime);
}

void MembershipCore::summarise(bool isNews, Time now, Actions& actions)
{
    summaryAt_ = now;
    ++summaries_;
    nextSummary_ = now + summaryTime;
    Heartbeat heartbeat;
    heartbeat.member_ = self_;
    heartbeat.heads_.push_back({ self_.dataCentre_, membersDigest(ownMembers(now)), Duration::zero() });
    for (const DataCentreId& dataCentre : otherDataCentres()) {
        const auto gateways = gatewaysOf(dataCentre, now);
        // News goes to all of them, mere signs of life to each in turn.
        for (std::size_t index = 0; index < gateways.size(); ++index) {
            if (isNews || index == summaries_ % gateways.size())
                actions.emplace_back(SendToPeer { gateways[index].first, gateways[index].second, heartbeat });
        }
    }
}

void MembershipCore::forgetTheGone(Time now, Actions& actions)
{
    for (auto position = members_.begin(); position != members_.end();) {
        Member& member = position->second;
        const bool isDead = !isAlive(member, now);
        if (member.wasAlive_ && isDead) {
            member.wasAlive_ = false;
            actions.emplace_back(ViewChanged {});
        }
        const bool hasLeft = member.record_.isLeaving_ && isDead;
        const bool isForgotten = !member.isListed_ && (hasLeft || now > member.heardAt_ + forgetTime);
        if (!isForgotten) {
            ++position;
            continue;
        }
        if (gone_.size() >= mostGone)
            gone_.erase(gone_.begin());
        gone_[position->first] = member.heardBeat_;
        position = members_.erase(position);
        actions.emplace_back(ViewChanged {});
    }
}

void MembershipCore::hasten(Time now)
{
    nextBeat_ = std::min(nextBeat_, std::max(now, beatAt_ + hastyTime));
    hasNews_ = true;
    if (isGateway(now))
        nextSummary_ = std::min(nextSummary_, std::max(now, summaryAt_ + hastyTime));
}

bool MembershipCore::isAlive(const Member& member, Time now) const
{
    return member.heardBeat_.second != 0 && now < member.heardAt_ + suspectTime;
}

bool MembershipCore::isGateway(Time now) const
{
    std::size_t before = 0;
    for (const auto& [id, member] : members_) {
        if (id < self_.id_ && isAlive(member, now) && !member.record_.isLeaving_ && isLocal(member.record_))
            ++before;
    }
    return before < gatewayCount;
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
    for (const auto& [dataCentre, remote] : remotes_) {
        for (const MemberRecord& record : remote.members_) {
            if (record.id_ == id)
                return record.peerAddress_;
        }
    }
    const auto listed = listed_.find(id);
    return listed == listed_.end() ? Address() : listed->second.peerAddress_;
}

std::vector<MemberRecord> MembershipCore::ownMembers(Time now) const
{
    std::vector<MemberRecord> own { self_ };
    for (const auto& [id, member] : members_) {
        if (isLocal(member.record_) && isAlive(member, now))
            own.push_back(member.record_);
    }
    std::sort(own.begin(), own.end(), [](const MemberRecord& first, const MemberRecord& second) { return first.id_ < second.id_; });
    return own;
}

std::vector<SummaryHead> MembershipCore::remoteHeads(Time now) const
{
    std::vector<SummaryHead> heads;
    for (const auto& [dataCentre, remote] : remotes_) {
        if (remote.digest_ != 0 && now < remote.freshAt_ + cutOffTime)
            heads.push_back({ dataCentre, remote.digest_, now - remote.freshAt_ });
    }
    return heads;
}

std::vector<std::pair<InstanceId, Address>> MembershipCore::gatewaysOf(const DataCentreId& dataCentre, Time now) const
{
    std::vector<std::pair<InstanceId, Address>> gateways;
    const auto remote = remotes_.find(dataCentre);
    if (remote != remotes_.end() && now < remote->second.freshAt_ + cutOffTime) {
        for (const MemberRecord& record : remote->second.members_) {
            if (!record.isLeaving_ && gateways.size() < gatewayCount)
                gateways.emplace_back(record.id_, record.peerAddress_);
        }
        return gateways;
    }
    // Nothing was heard: the listed ones are tried in turn, as some may be dead.
    for (const auto& [id, instance] : listed_) {
        if (instance.dataCentre_ == dataCentre)
            gateways.emplace_back(id, instance.peerAddress_);
    }
    if (gateways.size() > gatewayCount) {
        const auto turn = static_cast<std::ptrdiff_t>(self_.beat_ % gateways.size());
        std::rotate(gateways.begin(), gateways.begin() + turn, gateways.end());
        gateways.resize(gatewayCount);
    }
    return gateways;
}

std::vector<DataCentreId> MembershipCore::otherDataCentres() const
{
    std::set<DataCentreId> names;
    for (const auto& [id, instance] : listed_)
        names.insert(instance.dataCentre_);
    for (const auto& [name, remote] : remotes_)
        names.insert(name);
    names.erase(self_.dataCentre_);
    return { names.begin(), names.end() };
}

Time MembershipCore::nextTick() const
{
    return std::min(nextBeat_, nextSummary_);
}

MembershipView MembershipCore::view(Time now) const
{
    MembershipView view;
    view.self_ = self_.id_;
    view.dataCentre_ = self_.dataCentre_;
    view.isGateway_ = isGateway(now);
    view.acknowledgedAt_ = acknowledgedAt_;
    view.members_[self_.id_] = { self_, now, listed_.count(self_.id_) != 0, true };
    for (const auto& [dataCentre, remote] : remotes_) {
        view.dataCentres_[dataCentre] = remote.freshAt_;
        const bool isFresh = now < remote.freshAt_ + cutOffTime;
        for (const MemberRecord& record : remote.members_)
            view.members_[record.id_] = { record, remote.freshAt_, listed_.count(record.id_) != 0, isFresh };
    }
    for (const auto& [id, member] : members_)
        view.members_[id] = { member.record_, member.heardAt_, member.isListed_, isAlive(member, now) };
    return view;
}

}
