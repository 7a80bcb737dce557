#pragma once

#include "routing/fairqueue.h"
#include "routing/minion.h"

#include <string>
#include <variant>
#include <vector>

namespace fescuecleat {

/** Sends the request to a minion. */
struct SendToMinion {
    Ticket ticket_ = 0;
    Minion minion_;
    /** When to abandon the attempt; never after the request's deadline. */
    Time attemptDeadline_;
};

/** Refuses the request because no slot is available in time. */
struct RefuseRequest {
    Ticket ticket_ = 0;
    std::string reason_;
    Time retryAt_;
};

/** Reports that a minion was ejected or reinstated, or started or stopped leaving; for counters and logs. */
struct MinionConditionChanged {
    MinionId minion_;
    std::string condition_;
};

/** An action that the dispatcher asks its caller to carry out. */
using DispatchAction = std::variant<SendToMinion, RefuseRequest, MinionConditionChanged>;

}
