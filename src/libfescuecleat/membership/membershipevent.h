#pragma once

#include "membership/peermessage.h"
#include "platform/instancelist.h"

#include <variant>
#include <vector>

namespace fescuecleat {

/** A message from a peer arrived. */
struct PeerMessageReceived {
    PeerMessage message_;
};

/** The platform's instance list was read. */
struct InstancesListed {
    std::vector<ListedInstance> instances_;
};

/** The state that this instance publishes to its peers changed. */
struct LocalStateChanged {
    LocalState state_;
};

/** This instance is shutting down. */
struct LeaveAnnounced {
};

/** A timer expired; sends the heartbeats and summaries that are due. */
struct MembershipTick {
};

/** Inputs of the membership core. */
using MembershipEvent = std::variant<PeerMessageReceived, InstancesListed, LocalStateChanged, LeaveAnnounced, MembershipTick>;

}
