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

/** What the router uses and would use if it could. */
struct SlotUsage {
    std::map<MinionId, SharedMinion> minions_;
    /** Requests that wait for a slot. */
    int wanted_ = 0;
};

/** A message that the limiter wants sent. */
struct LimiterMessage {
    InstanceId to_;
    PeerContent content_;
};

/** What the limiter decided at a tick. */
struct LimiterDecision {
    std::map<MinionId, SlotAllowance> allowances_;
    /** To be told to the peers. */
    std::uint64_t shareView_ = 0;
    std::vector<LimiterMessage> messages_;
};

/**
 * Shares the slots of minions between the instances of their data centre
 * without a coordinator. Each instance has a share by its rank; what it doesn't
 * need it lends to peers of any data centre for a short time. The sum stays
 * within the slots because the share never grows when an instance is added to
 * the view, each instance is in the view of every other one before it takes
 * its share, and leaves their views only once it can't use it any more.
 * Deterministic. Not thread-safe.
 */
class MinionLimiter {
public:
    MinionLimiter(InstanceId self, DataCentreId dataCentre, std::uint64_t seed);

    /** Takes the view and the usage in and decides anew. */
    LimiterDecision tick(const MembershipView&, const SlotUsage&, Time now);

    /** Lends what can be spared; nothing if nothing can. */
    std::optional<LoanGrant> lend(const LoanRequest&, Time now);

    /**
     * Takes back what a grant can't cover. To be called with the usage that was
     * read after the smaller allowances came into force, before the grant is sent.
     */
    LoanGrant settle(const LoanGrant&, const SlotUsage&, Time now);

    /** Takes what a peer lent. */
    void borrow(const LoanGrant&);

    /** The slots that this instance may use now. */
    std::map<MinionId, SlotAllowance> allowances(Time now) const;

    bool isEstablished() const { return isEstablished_; }

private:
    struct Participant {
        bool isListed_ = false;
        bool isAlive_ = false;
        Time heardAt_;
        /** Since when the list doesn't show it in service. */
        Time unlistedAt_;
        std::uint64_t shareView_ = 0;
    };

    struct PendingLoan {
        Time until_;
    };

    void updateParticipants(const MembershipView&, Time now);
    void updateStanding(Time now);
    bool isConfirmedBy(const Participant&, Time now) const;
    bool usesNoMoreThanItsShare(Time now) const;
    int shareOf(const MinionId&) const;
    int lentOf(const MinionId&, Time now) const;
    std::uint64_t participantsDigest() const;
    void dropLapsed(Time now);
    void askForLoans(const MembershipView&, Time now, std::vector<LimiterMessage>&);
    std::vector<InstanceId> lendersOf(const MembershipView&, const DataCentreId&) const;

    InstanceId self_;
    DataCentreId dataCentre_;
    RandomSource random_;
    SlotUsage usage_;
    /** Other instances of the data centre that may use their shares. */
    std::map<InstanceId, Participant> participants_;
    std::map<MinionId, std::vector<SlotLoan>> lent_;
    std::map<MinionId, std::vector<SlotLoan>> borrowed_;
    std::map<std::uint64_t, PendingLoan> pending_;
    std::uint64_t newestLoan_ = 0;
    std::uint64_t shareView_ = 0;
    /** Digest of the participants at the last tick. */
    std::uint64_t tickedView_ = 0;
    bool isEstablished_ = false;
    bool isSelfListed_ = false;
    /** Since when the list shows this instance, while it isn't established. */
    Time listedAt_;
    Time acknowledgedAt_;
    Time tickedAt_;
    Time nextAsk_;
    int fruitlessAsks_ = 0;
};

}
