#pragma once

#include "membership/peermessage.h"
#include "platform/instancelist.h"

#include <variant>
#include <vector>

namespace fescuecleat {

/** A peer's message arrived. */
struct PeerMessageReceived {
    PeerMessage message_;
};

/** The platform's instance list was read. */
struct InstancesListed {
    std::vector<ListedInstance> instances_;
};

/** The state that this instance tells its peers changed. */
struct LocalStateChanged {
    LocalState state_;
};

/** This instance stops for good. */
struct LeaveAnnounced {
};

/** Time passed. */
struct MembershipTick {
};

/** What membership reacts to. */
using MembershipEvent = std::variant<PeerMessageReceived, InstancesListed, LocalStateChanged, LeaveAnnounced, MembershipTick>;

}
