#pragma once

#include "base/time.h"
#include "pool/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuecleat {

/** One step of a job: tasks with identical requirements. */
struct StepSpec {
    int taskCount_ = 1;
    Resources resources_;
    /** Run time of a task as estimated by the submitter; may be off by several times. */
    Duration estimate_ {};
    /** Indexes of the steps that must finish first. */
    std::vector<int> after_;
    /** All tasks run at the same time, or none runs. */
    bool isGang_ = false;
    bool wantsOneRack_ = false;
    bool savesProgress_ = false;
    /** Duplicate runs of a task are allowed. */
    bool isSpeculative_ = false;
    /** Runs until the job is cancelled. */
    bool isLongRunning_ = false;
    /** Uses only idle processor time; its processor request is not charged to the worker. */
    bool isFiller_ = false;
    std::string requiredLabel_;
    std::string preferredRack_;
    /** Limit on tasks of this step per worker; 0 means no limit. */
    int maxTasksPerWorker_ = 0;
    /**
     * Limit on long-running tasks that the scheduler may interrupt at the same time.
     * Tasks of a step with such a limit are neither preempted nor moved.
     */
    int maxUnavailable_ = 0;
    std::string image_;

    /** Cores of one task, with its accelerators counted as cores of the same value. */
    double weightInCores() const { return resources_.weightInCores(); }

    /** Resources that one task occupies on a worker. */
    Resources allocation() const
    {
        Resources result = resources_;
        if (isFiller_)
            result.cpuMillis_ = 0;
        return result;
    }
};

/** A job as submitted by a caller. */
struct PoolJobSpec {
    /** Opaque data that is passed to the workers. */
    std::string payload_;
    std::vector<StepSpec> steps_;
    /** Number of scheduled occurrences of the steps; 0 means a single immediate one. */
    int occurrences_ = 0;
    std::int64_t firstDueUnixMs_ = 0;
    std::int64_t periodMs_ = 0;

    bool isTimed() const { return occurrences_ > 0; }
    /** Number of occurrences that are due at a time. */
    int occurrencesDueAt(std::int64_t unixMs) const;
    std::int64_t dueUnixMs(int occurrence) const { return firstDueUnixMs_ + occurrence * periodMs_; }
};

}
