#pragma once

#include "base/time.h"

#include <algorithm>

namespace fescuecleat {

/** What a deployment declares about stopping tasks. Without it, the scheduler uses fixed assumptions. */
struct StopCosts {
    /** Longest time from the request to stop a task until its resources are free. */
    Duration stop_ {};
    /** Time that a task needs to continue from its checkpoint. */
    Duration restore_ {};
    /** Work between two checkpoints of a task that saves its progress. */
    Duration checkpointInterval_ = std::chrono::seconds(1);
    /** How long the members of a gang wait for each other at their start. */
    Duration gangWait_ = std::chrono::seconds(4);

    /** Time from the release of resources until a task has started on them: the report, the pass, the commit and the request. */
    static constexpr Duration startDelay = std::chrono::milliseconds(200);

    /** Timeout of unanswered starts: the rest of a gang's wait must suffice to send them again. */
    Duration startTimeout(Duration standard) const { return std::min<Duration>(standard, gangWait_ * 3 / 8); }
    /** Time by which a stop must be decided before the resources are to be in use again. */
    Duration leadTime() const { return stop_ + startDelay; }
};

}
