#pragma once

#include "routing/fairqueue.h"
#include "routing/minion.h"
#include "routing/minionhealth.h"
#include "routing/slotallowance.h"

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace fescuecleat {

/** A request wants a slot. */
struct Submit {
    Ticket ticket_ = 0;
    OrganisationId organisation_;
    std::string kind_;
    Time deadline_;
    bool isIdempotent_ = false;
    /** Minions that it was sent to before. */
    std::set<MinionId> avoided_;
};

/** The caller no longer waits for a slot. */
struct Withdraw {
    Ticket ticket_ = 0;
};

/** A dispatched request came back or was given up. */
struct AttemptEnded {
    Ticket ticket_ = 0;
    AttemptVerdict verdict_ = AttemptVerdict::Good;
    /** The minion may still be at work until here; the slot counts as busy. */
    Time slotBusyUntil_;
    bool wasRefused_ = false;
};

/** The list of the service's minions was read. */
struct MinionsListed {
    std::vector<Minion> minions_;
};

/** A minion, or a peer, said that the minion is leaving. */
struct LeavingSeen {
    MinionId minion_;
};

/** The minion itself said, when asked after the sign that it leaves, that it stays. */
struct StayingSeen {
    MinionId minion_;
};

/** The allowances of this instance; a minion that isn't named has none. */
struct AllowancesChanged {
    std::map<MinionId, SlotAllowance> allowances_;
};

/** Time passed: slots become free, waiting requests expire. */
struct ClockTick {
};

/** What the dispatcher reacts to. */
using DispatchEvent = std::variant<Submit, Withdraw, AttemptEnded, MinionsListed, LeavingSeen, StayingSeen, AllowancesChanged, ClockTick>;

}
