#pragma once

#include "base/time.h"
#include "pool/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuecleat {

/** One step of a job: tasks of one shape. */
struct StepSpec {
    int taskCount_ = 1;
    Resources resources_;
    /** The submitter's rough guess of a task's run time. */
    Duration estimate_ {};
    /** Steps that must be done first, by index. */
    std::vector<int> after_;
    /** All tasks run together or none does. */
    bool isGang_ = false;
    bool wantsOneRack_ = false;
    bool savesProgress_ = false;
    /** Copies may run in parallel. */
    bool isSpeculative_ = false;
    /** Runs until the job is cancelled. */
    bool isLongRunning_ = false;
    /** Uses only processor time that other tasks leave; its processor share takes no room. */
    bool isFiller_ = false;
    std::string requiredLabel_;
    std::string preferredRack_;
    /** At most this many tasks of the step on one worker; 0: no limit. */
    int maxTasksPerWorker_ = 0;
    /** Tasks that last and may be away at once through our own doing. */
    int maxUnavailable_ = 0;
    std::string image_;

    /** The room one task takes on a worker. */
    Resources room() const
    {
        Resources room = resources_;
        if (isFiller_)
            room.cpuMillis_ = 0;
        return room;
    }
};

/** What a caller submitted. */
struct PoolJobSpec {
    /** Handed to the workers unread. */
    std::string payload_;
    std::vector<StepSpec> steps_;
    /** How often the steps run at due times; 0: once, at once. */
    int occurrences_ = 0;
    std::int64_t firstDueUnixMs_ = 0;
    std::int64_t periodMs_ = 0;

    bool isTimed() const { return occurrences_ > 0; }
    std::int64_t dueUnixMs(int occurrence) const { return firstDueUnixMs_ + occurrence * periodMs_; }
};

}
