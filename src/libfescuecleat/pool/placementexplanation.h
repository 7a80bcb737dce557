#pragma once

#include "base/time.h"
#include "pool/pooljobstate.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/** Why tasks that wait wouldn't start now. */
enum class WaitCause {
    None,
    /** Earlier steps aren't done, or the time of the occurrence hasn't come. */
    NotDue,
    /** No worker of the service has the label, or none is reachable and takes new work. */
    NoSuitableWorker,
    /** No suitable worker is large enough for one task, whatever it runs. */
    TaskTooLarge,
    /** Running tasks are being stopped to make room. */
    RoomIsBeingFreed,
    /** There is room for some tasks of the gang only, or not in one rack. */
    GangDoesNotFit,
    NoRoom,
    /** There is room, but it is kept for other work, or a limit applies. */
    RoomIsKept,
};

/** Name of a cause as it appears in answers. */
const char* waitCauseName(WaitCause);

/** What would become of the waiting tasks of one step. */
struct StepExplanation {
    int step_ = 0;
    std::int64_t waitingTasks_ = 0;
    /** Tasks that would start now, by worker. */
    std::map<std::string, int> starts_;
    std::set<std::string> racks_;
    /** Reachable workers that take new work and may run the step. */
    int suitableWorkers_ = 0;
    /** Further tasks that there is room for, on all suitable workers and in the rack with most room. */
    std::int64_t tasksWithRoom_ = 0;
    std::int64_t tasksWithRoomInOneRack_ = 0;
    WaitCause cause_ = WaitCause::None;

    int startedTasks() const;
};

/** What the scheduler would do with a job now. */
struct PlacementExplanation {
    PoolJobState state_ = PoolJobState::Queued;
    int priority_ = 0;
    Time targetCompletion_ {};
    Time creditExpiry_ {};
    /** Open jobs with waiting tasks that have a higher priority, or the same one and an earlier target. */
    int jobsAhead_ = 0;
    std::vector<StepExplanation> steps_;
    /** Runs of other jobs that would be stopped for this one. */
    std::map<std::string, int> preempted_;
};

}
