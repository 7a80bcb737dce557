#pragma once

#include "membership/membershipview.h"
#include "membership/peermessage.h"
#include "routing/randomsource.h"
#include "routing/slotallowance.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fescuecleat {

/** A minion whose slots are shared between instances. */
struct SharedMinion {
    DataCentreId dataCentre_;
    int slots_ = 0;
    /** Slots that this instance's requests use now. */
    int busy_ = 0;
};

/** Current slot usage and demand of the router. */
struct SlotUsage {
    std::map<MinionId, SharedMinion> minions_;
    int waitingRequests_ = 0;
};

/** A message that the caller has to send to a peer. */
struct LimiterMessage {
    InstanceId to_;
    PeerContent content_;
};

/** Result of a tick of the limiter. */
struct LimiterDecision {
    std::map<MinionId, SlotAllowance> allowances_;
    /** Digest of the participants that the peers are to be told. */
    std::uint64_t participantsDigest_ = 0;
    std::vector<LimiterMessage> messages_;
};

/**
 * Shares the slots of minions between the instances of their data centre
 * without a coordinator. The share of an instance follows from its rank; unused
 * slots are lent to peers of any data centre for a short time. The sum of all
 * shares stays within the slots because adding an instance to the view never
 * increases the share of another one, an instance uses its share only once it
 * is in the view of every other one, and is removed from their views only once
 * it can't use its share any more. Deterministic. Not thread-safe.
 */
class MinionLimiter {
public:
    MinionLimiter(InstanceId self, DataCentreId dataCentre, std::uint64_t seed);

    /** Recomputes the allowances from the current view and usage. */
    LimiterDecision tick(const MembershipView&, const SlotUsage&, Time now);

    /** Lends spare slots to a peer; empty if there are none. */
    std::optional<LoanGrant> lend(const LoanRequest&, Time now);

    /**
     * Returns the grant without the slots that are still in use here, which are
     * taken back. To be called before the grant is sent, with a usage that was
     * read after the smaller allowances came into force.
     */
    LoanGrant confirmGrant(const LoanGrant&, const SlotUsage&, Time now);

    /** Adds the slots that a peer lent. */
    void borrow(const LoanGrant&);

    /** The slots that this instance may use now. */
    std::map<MinionId, SlotAllowance> allowances(Time now) const;

    bool isEstablished() const { return isEstablished_; }

private:
    struct Participant {
        bool isListed_ = false;
        bool isAlive_ = false;
        Time lastHeardAt_;
        /** Latest time at which the list contained it. */
        Time lastListedAt_;
        std::uint64_t participantsDigest_ = 0;
    };

    struct PendingLoan {
        Time expiresAt_;
    };

    void updateParticipants(const MembershipView&, Time now);
    void updateEstablished(Time now);
    bool isConfirmedBy(const Participant&, Time now) const;
    bool isWithinOwnShare(Time now) const;
    int shareOf(const MinionId&) const;
    int lentOf(const MinionId&, Time now) const;
    std::uint64_t participantsDigest() const;
    void dropExpired(Time now);
    void requestLoans(const MembershipView&, Time now, std::vector<LimiterMessage>&);
    std::vector<InstanceId> possibleLenders(const MembershipView&, const DataCentreId&) const;

    InstanceId self_;
    DataCentreId dataCentre_;
    RandomSource random_;
    SlotUsage usage_;
    /** Other instances of the data centre that may use their shares. */
    std::map<InstanceId, Participant> participants_;
    std::map<MinionId, std::vector<SlotLoan>> lent_;
    std::map<MinionId, std::vector<SlotLoan>> borrowed_;
    std::map<std::uint64_t, PendingLoan> pendingLoans_;
    std::uint64_t lastLoanNumber_ = 0;
    std::uint64_t participantsDigest_ = 0;
    /** Digest of the participants at the last tick. */
    std::uint64_t lastDigest_ = 0;
    bool isEstablished_ = false;
    bool isSelfListed_ = false;
    /** Since when the list has contained this instance, while it isn't established. */
    Time listedAt_;
    Time acknowledgedAt_;
    Time lastTickAt_;
    Time nextLoanRequestAt_;
    int unansweredLoanRequests_ = 0;
};

}
