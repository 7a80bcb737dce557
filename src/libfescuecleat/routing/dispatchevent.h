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

/** A request asks for a slot. */
struct Submit {
    Ticket ticket_ = 0;
    OrganisationId organisation_;
    std::string kind_;
    Time deadline_;
    bool isIdempotent_ = false;
    /** Minions of earlier attempts, used again only if no other one of their data centre has a free slot. */
    std::set<MinionId> avoided_;
};

/** The request no longer waits for a slot. */
struct Withdraw {
    Ticket ticket_ = 0;
};

/** An attempt was answered, failed or was abandoned. */
struct AttemptEnded {
    Ticket ticket_ = 0;
    HealthSignal healthSignal_ = HealthSignal::Success;
    /** The slot counts as busy until then, because the minion may still be working. */
    Time slotBusyUntil_;
    bool wasRefused_ = false;
};

/** A new list of the service's minions was read. */
struct MinionsListed {
    std::vector<Minion> minions_;
};

/** The minion itself or a peer reported that the minion is leaving. */
struct LeavingReported {
    MinionId minion_;
};

/** A minion that was reported as leaving said in a health check that it isn't. */
struct StayingConfirmed {
    MinionId minion_;
};

/** New allowances of this instance; a minion that isn't contained has none. */
struct AllowancesChanged {
    std::map<MinionId, SlotAllowance> allowances_;
};

/** Periodic event that frees slots and expires waiting requests. */
struct ClockTick {
};

/** Input of the dispatcher. */
using DispatchEvent = std::variant<Submit, Withdraw, AttemptEnded, MinionsListed, LeavingReported, StayingConfirmed, AllowancesChanged, ClockTick>;

}
