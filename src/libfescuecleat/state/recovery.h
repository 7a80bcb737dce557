#pragma once

#include "scheduler/taskkey.h"
#include "scheduler/taskstate.h"
#include "state/jobstore.h"
#include "state/snapshot.h"

#include <optional>
#include <vector>

namespace fescuecleat {

/** A task as a worker reports it, for recovery. */
struct ReportedTask {
    TaskKey task_;
    WorkerId worker_;
    TaskState state_ = TaskState::Prepared;

    bool operator==(const ReportedTask& other) const { return task_ == other.task_ && worker_ == other.worker_ && state_ == other.state_; }
};

/** What a fresh holder knows of its data centre. */
struct RecoveredState {
    /** Live jobs; the version of each is 0 if only a snapshot showed it. */
    std::vector<StoredJob> jobs_;
    /** Tasks of these jobs' present attempts; the scheduler takes them as reports. */
    std::vector<ReportedTask> tasks_;
    /** Tasks that must be stopped: their job ended, moved or is at a later attempt. */
    std::vector<ReportedTask> strayTasks_;
    /** Tasks of jobs that nothing readable knows; they go on until the table can be read. */
    std::vector<ReportedTask> unknownTasks_;
    /** True if the jobs were read from the table, so that starts and records may follow. */
    bool isComplete_ = false;
};

/**
 * Rebuilds the state of a data centre. Rows, where the table could be read,
 * are the truth; a snapshot stands in for them only while it can't. Tasks of
 * workers are matched with the jobs, never the other way round: a report can't
 * bring back a job that ended. Pure.
 */
RecoveredState rebuild(const std::optional<std::vector<StoredJob>>& rows, const std::optional<Snapshot>&, const std::vector<ReportedTask>&);

}
