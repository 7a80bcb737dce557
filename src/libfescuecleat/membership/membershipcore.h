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

/** Paths along which instances exchange heartbeats. */
enum class Topology {
    /** Heartbeats within a data centre, summaries between the gateways of data centres. */
    Hierarchical,
    /** Heartbeats between all instances. Only a baseline for benchmarks. */
    Flat,
};

/** Fixed parameters of a membership core. */
struct MembershipOptions {
    MemberRecord self_;
    Topology topology_ = Topology::Hierarchical;
};

/**
 * Maintains the view of all instances from heartbeats and the platform's
 * instance list, which lags behind. Deterministic: the same events at the same
 * times give the same actions. Not thread-safe.
 */
class MembershipCore {
public:
    explicit MembershipCore(MembershipOptions);

    /** Processes an event and returns the actions that the caller must carry out. */
    std::vector<MembershipAction> apply(const MembershipEvent&, Time now);

    MembershipView view(Time now) const;

    /** When the next MembershipTick is due. */
    Time nextTick() const;

private:
    struct Member {
        MemberRecord record_;
        /** Newest known incarnation and sequence number, received directly or relayed by a peer. */
        std::pair<std::uint64_t, std::uint64_t> newestHeartbeat_ { 0, 0 };
        Time lastHeardAt_;
        bool isListed_ = false;
        bool wasAlive_ = false;
    };

    struct RemoteDataCentre {
        /** Digest of the members below. */
        std::uint64_t digest_ = 0;
        /** When a gateway of the data centre last confirmed its state, as far as known. */
        Time confirmedAt_;
        /** Time at which the members below were current. */
        Time summaryAt_;
        Time lastPullAt_;
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

    void applyAcknowledgement(const ReceivedHeartbeat&);
    void mergeRecord(const MemberRecord&, Time now, Actions&);
    void mergeHead(const InstanceId& sender, const Address& senderAddress, const SummaryHead&, Time now, Actions&);
    void sendHeartbeat(Time now, Actions&);
    void sendSummary(bool hasChanges, Time now, Actions&);
    Duration heartbeatInterval() const;
    void removeDeadMembers(Time now, Actions&);
    void expediteUpdates(Time now);

    bool isAlive(const Member&, Time now) const;
    bool isGateway(Time now) const;
    bool isLocal(const MemberRecord&) const;
    Address addressOf(const InstanceId&) const;
    std::vector<MemberRecord> localMembers(Time now) const;
    std::vector<SummaryHead> remoteHeads(Time now) const;
    std::vector<std::pair<InstanceId, Address>> gatewaysOf(const DataCentreId&, Time now) const;
    std::vector<DataCentreId> otherDataCentres() const;

    MemberRecord self_;
    Topology topology_;
    /** Instances that exchange heartbeats with this one. */
    std::map<InstanceId, Member> members_;
    std::map<DataCentreId, RemoteDataCentre> remoteDataCentres_;
    /** Entry instances of the newest instance list. */
    std::map<InstanceId, ListedInstance> listedInstances_;
    /** Newest heartbeats of removed instances, so that late messages don't restore them. */
    std::map<InstanceId, std::pair<std::uint64_t, std::uint64_t>> tombstones_;
    /** Sequence numbers and send times of the newest own heartbeats, to date acknowledgements. */
    std::deque<std::pair<std::uint64_t, Time>> sentHeartbeats_;
    Time acknowledgedAt_;
    Time lastHeartbeatAt_;
    Time nextHeartbeatAt_;
    Time lastSummaryAt_;
    Time nextSummaryAt_;
    /** The own data centre changed since the last summary. */
    bool hasUnsentChanges_ = true;
    std::uint64_t sentSummaries_ = 0;
};

/** Digest of the members without their heartbeat sequence numbers. */
std::uint64_t membersDigest(const std::vector<MemberRecord>&);

}
