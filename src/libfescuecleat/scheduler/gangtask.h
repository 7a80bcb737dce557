#pragma once

#include "base/time.h"
#include "scheduler/taskplace.h"

namespace fescuecleat {

/** State of one task of a gang, as far as the scheduler knows it. */
enum class GangTaskState {
    /** Placed by a previous lease holder and not reported by its worker yet. */
    Unconfirmed,
    /** A prepare request was sent. */
    PrepareSent,
    Prepared,
    /** A start request was sent. */
    StartSent,
    Running,
    // In the states below the task has ended: it can no longer run.
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
    /** The guaranteed cell that the task is charged to. */
    int guaranteedCell_ = noGuaranteedCell;
    GangTaskState state_ = GangTaskState::PrepareSent;
    /** Share of the work in its latest checkpoint, 0 to 1. */
    double checkpointedShare_ = 0;
    /** Consecutive full reports of its worker without this task. */
    int missedReports_ = 0;
    std::int64_t memoryBytes_ = 0;
    /** When the task was throttled; Time::max() if never. */
    Time throttledAt_ = Time::max();
};

}
