#pragma once

#include "scheduler/taskkey.h"
#include "scheduler/taskstate.h"
#include "state/jobstore.h"
#include "state/snapshot.h"

#include <optional>
#include <vector>

namespace fescuecleat {

/** A task reported by a worker during recovery. */
struct ReportedTask {
    TaskKey task_;
    WorkerId worker_;
    TaskState state_ = TaskState::Prepared;

    bool operator==(const ReportedTask& other) const { return task_ == other.task_ && worker_ == other.worker_ && state_ == other.state_; }
};

/** State of a data centre as known to a new lease holder. */
struct RecoveredState {
    /** Live jobs; their row versions are 0 if they come from a snapshot. */
    std::vector<StoredJob> jobs_;
    /** Tasks of the current attempts of these jobs, to be passed to the scheduler as reports. */
    std::vector<ReportedTask> tasks_;
    /** Tasks to be stopped: their job ended, moved or is at another attempt. */
    std::vector<ReportedTask> orphanTasks_;
    /** Tasks without a known job while the table is unreadable; they keep running until it can be read. */
    std::vector<ReportedTask> unknownTasks_;
    /** True if the jobs were read from the table. Otherwise the scheduler may neither start tasks nor store changes. */
    bool isComplete_ = false;
};

/**
 * Rebuilds the state of a data centre from the rows of the table, or from a
 * snapshot while the table can't be read. Reported tasks are matched with these
 * jobs and never add a job, so that a late report can't restore an ended one.
 * Has no side effects.
 */
RecoveredState recoverState(const std::optional<std::vector<StoredJob>>& rows, const std::optional<Snapshot>&, const std::vector<ReportedTask>&);

}
