#pragma once

#include "membership/peermessage.h"

#include <variant>

namespace fescuecleat {

/** Sends a message to a peer without a delivery guarantee. */
struct SendToPeer {
    InstanceId to_;
    Address address_;
    PeerContent content_;
};

/** The view changed in more than its timestamps. */
struct ViewChanged {
};

/** Effects that the membership core asks its caller to carry out. */
using MembershipAction = std::variant<SendToPeer, ViewChanged>;

}
