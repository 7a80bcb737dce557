#pragma once

#include "base/time.h"
#include "pool/taskcrashes.h"
#include "pool/taskid.h"
#include "pool/unitid.h"
#include "pool/workerinfo.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace fescuecleat {

enum class UnitState {
    Waiting,
    /** A run is being recorded, started, executed or stopped. */
    Active,
    Done,
};

/** Smallest unit of placement: a gang or a single task. */
struct WorkUnit {
    UnitId id_;
    int taskCount_ = 1;
    UnitState state_ = UnitState::Waiting;
    int lastRun_ = 0;
    int failures_ = 0;
    /** The last run that is counted in them. */
    int lastFailedRun_ = 0;
    /** The newest run can no longer succeed; its remaining tasks are being stopped. */
    bool isRunAborted_ = false;
    std::string checkpoint_;
    /** Runs of the newest attempt that have not ended. */
    std::set<RunId> openRuns_;
    /** Cache of PoolState::isAtWorkSince: the first open run that isn't confirmed; unset if all are. */
    std::optional<RunId> firstUnconfirmed_;
    /** Cache of PoolState::isAtWorkSince: the latest confirmation among the runs before that one; unset if runs have changed. */
    std::optional<Time> confirmedAt_;
    Time waitingSince_ {};
    Time startedAt_ {};
    /** End of the backoff after a worker refused a start. */
    Time retryAt_ {};
    /** Ids of workers on which runs failed; used again only if no other worker fits. */
    std::set<std::string> failedOn_;
    bool wantsStart_ = false;
    /** Crashes of workers by the index of the task. */
    std::map<int, TaskCrashes> crashes_;

    /** The next start of one of its tasks may crash the worker. */
    bool isSuspect() const
    {
        return std::any_of(crashes_.begin(), crashes_.end(), [](const auto& entry) { return entry.second.areSuspicious(); });
    }
};

}
