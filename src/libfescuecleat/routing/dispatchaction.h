#pragma once

#include "routing/fairqueue.h"
#include "routing/minion.h"

#include <string>
#include <variant>
#include <vector>

namespace fescuecleat {

/** Send the request to this minion now. */
struct SendToMinion {
    Ticket ticket_ = 0;
    Minion minion_;
    /** The attempt is given up here; never after the request's deadline. */
    Time attemptDeadline_;
};

/** The request gets no slot in time. */
struct RefuseRequest {
    Ticket ticket_ = 0;
    std::string reason_;
    Time retryAt_;
};

/** A minion was ejected or taken back, or began to leave; for counters and logs. */
struct MinionConditionChanged {
    MinionId minion_;
    std::string condition_;
};

/** What the dispatcher wants done. */
using DispatchAction = std::variant<SendToMinion, RefuseRequest, MinionConditionChanged>;

}
