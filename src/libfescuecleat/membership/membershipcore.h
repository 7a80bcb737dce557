#pragma once

#include "membership/membershipaction.h"
#include "membership/membershipevent.h"
#include "membership/membershipview.h"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fescuecleat {

/** How instances tell each other of themselves. */
enum class Arrangement {
    /** Heartbeats within a data centre, summaries between the gateways of data centres. */
    Hierarchical,
    /** Heartbeats between all instances. Only to be measured against. */
    Flat,
};

/** What membership is told once. */
struct MembershipOptions {
    MemberRecord self_;
    Arrangement arrangement_ = Arrangement::Hierarchical;
};

/**
 * Keeps the view of all instances out of heartbeats and the lagging instance
 * list. Deterministic: the same events at the same times give the same
 * actions. Not thread-safe.
 */
class MembershipCore {
public:
    explicit MembershipCore(MembershipOptions);

    std::vector<MembershipAction> apply(const MembershipEvent&, Time now);

    MembershipView view(Time now) const;

    /** The moment at which a tick is due. */
    Time nextTick() const;

private:
    struct Member {
        MemberRecord record_;
        /** Newest incarnation and beat known, also through others. */
        std::pair<std::uint64_t, std::uint64_t> heardBeat_ { 0, 0 };
        Time heardAt_;
        bool isListed_ = false;
        bool wasAlive_ = false;
    };

    struct RemoteDataCentre {
        /** Digest of the members below. */
        std::uint64_t digest_ = 0;
        /** The newest confirmation of the data centre that is known here. */
        Time freshAt_;
        /** The moment that the members below describe. */
        Time summaryAt_;
        Time pulledAt_;
        std::vector<MemberRecord> members_;
    };

    using Actions = std::vector<MembershipAction>;

    void on(const PeerMessageReceived&, Time now, Actions&);
    void on(const InstancesListed&, Time now, Actions&);
    void on(const LocalStateChanged&, Time now, Actions&);
    void on(const LeaveAnnounced&, Time now, Actions&);
    void on(const MembershipTick&, Time now, Actions&);

    void receive(const InstanceId& sender, const Heartbeat&, Time now, Actions&);
    void receive(const InstanceId& sender, const DataCentreSummary&, Time now, Actions&);
    void receive(const InstanceId& sender, const SummaryPull&, Time now, Actions&);
    void receive(const InstanceId& sender, const LoanRequest&, Time now, Actions&);
    void receive(const InstanceId& sender, const LoanGrant&, Time now, Actions&);

    void takeAcknowledgement(const HeardBeat&);
    void takeRecord(const MemberRecord&, Time now, Actions&);
    void takeHead(const InstanceId& sender, const Address& senderAddress, const SummaryHead&, Time now, Actions&);
    void beat(Time now, Actions&);
    void summarise(bool isNews, Time now, Actions&);
    Duration beatPause() const;
    void forgetTheGone(Time now, Actions&);
    void hasten(Time now);

    bool isAlive(const Member&, Time now) const;
    bool isGateway(Time now) const;
    bool isLocal(const MemberRecord&) const;
    Address addressOf(const InstanceId&) const;
    std::vector<MemberRecord> ownMembers(Time now) const;
    std::vector<SummaryHead> remoteHeads(Time now) const;
    std::vector<std::pair<InstanceId, Address>> gatewaysOf(const DataCentreId&, Time now) const;
    std::vector<DataCentreId> otherDataCentres() const;

    MemberRecord self_;
    Arrangement arrangement_;
    /** Other instances that exchange heartbeats with this one. */
    std::map<InstanceId, Member> members_;
    std::map<DataCentreId, RemoteDataCentre> remotes_;
    /** Entry instances of the newest list. */
    std::map<InstanceId, ListedInstance> listed_;
    /** Newest beats of forgotten instances, so that late messages don't bring them back. */
    std::map<InstanceId, std::pair<std::uint64_t, std::uint64_t>> gone_;
    /** Newest own heartbeats, to know when an acknowledged one was sent. */
    std::deque<std::pair<std::uint64_t, Time>> sentBeats_;
    Time acknowledgedAt_;
    Time beatAt_;
    Time nextBeat_;
    Time summaryAt_;
    Time nextSummary_;
    /** Something changed since the newest summary. */
    bool hasNews_ = true;
    std::uint64_t summaries_ = 0;
};

/** Digest of members that ignores their beats. */
std::uint64_t membersDigest(const std::vector<MemberRecord>&);

}
