#pragma once

#include "base/time.h"
#include "scheduler/taskplace.h"

namespace fescuecleat {

/** What is known of one task of a gang. */
enum class GangTaskState {
    /** Recorded as placed by an earlier holder, not reported yet. */
    Unseen,
    /** A prepare was sent. */
    Asked,
    Prepared,
    /** A start was sent. */
    StartSent,
    Running,
    // The task certainly no longer runs from here on.
    Finished,
    Failed,
    Refused,
    Stopped,
    Checkpointed,
    WorkerLost,
};

inline bool hasEnded(GangTaskState state)
{
    return state >= GangTaskState::Finished;
}

/** One task of a placed gang. */
struct GangTask {
    /** Index of the worker in the worker table. */
    int worker_ = -1;
    AcceleratorMask accelerators_ = 0;
    /** The guaranteed cell that it is charged to. */
    int home_ = noHome;
    GangTaskState state_ = GangTaskState::Asked;
    /** Share of the work that its newest checkpoint holds. */
    double checkpointedShare_ = 0;
    /** Whole reports of its worker in a row that did not name it. */
    int missedReports_ = 0;
    std::int64_t memoryBytes_ = 0;
    /** When it was throttled; Time::max() if it wasn't. */
    Time throttledAt_ = Time::max();
};

}
