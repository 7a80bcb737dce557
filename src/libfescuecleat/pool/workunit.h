#pragma once

#include "base/time.h"
#include "pool/taskid.h"
#include "pool/workerinfo.h"

#include <set>
#include <string>

namespace fescuecleat {

enum class UnitState {
    /** Earlier steps are not done, or its time has not come. */
    Blocked,
    Waiting,
    /** A run is out: recorded, starting, running or being stopped. */
    Active,
    Done,
};

/** What is placed and ends as one: a gang, or a single task. */
struct WorkUnit {
    int occurrence_ = 0;
    int step_ = 0;
    /** Index of the task; -1 for a gang. */
    int index_ = -1;
    int taskCount_ = 1;
    UnitState state_ = UnitState::Blocked;
    int lastRun_ = 0;
    int failures_ = 0;
    /** The newest run can't end well: what is left of it is being stopped. */
    bool isRunBroken_ = false;
    std::string checkpoint_;
    /** Tasks of the newest run that have not ended. */
    std::set<RunId> openRuns_;
    Time waitingSince_ {};
    Time startedAt_ {};
    /** Not placed before this moment, after a worker refused it. */
    Time retryAt_ {};
    /** Workers on which runs failed; avoided where others will do. */
    std::set<std::string> failedOn_;
    bool wantsStart_ = false;

    bool isGang() const { return index_ < 0; }
};

}
