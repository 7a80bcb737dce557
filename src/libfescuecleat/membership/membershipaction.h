#pragma once

#include "membership/peermessage.h"

#include <variant>

namespace fescuecleat {

/** Send a message to a peer; it may be lost. */
struct SendToPeer {
    InstanceId to_;
    Address address_;
    PeerContent content_;
};

/** The view differs from before in more than the times. */
struct ViewChanged {
};

/** What membership wants done. */
using MembershipAction = std::variant<SendToPeer, ViewChanged>;

}
