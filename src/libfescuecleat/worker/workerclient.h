#pragma once

#include "base/result.h"
#include "base/time.h"
#include "scheduler/jobspec.h"
#include "scheduler/taskkey.h"
#include "settings/settings.h"
#include "worker/workeranswer.h"
#include "worker/workerreport.h"

#include <cstdint>
#include <vector>

namespace fescuecleat {

/** What a worker needs to know to hold devices for a task. */
struct PreparedTask {
    TaskKey task_;
    std::vector<int> accelerators_;
    JobSpec spec_;
};

/**
 * Commands to workers. Calls block until they are answered or the deadline
 * passed. Clock values are microseconds of the worker's own clock. Thread-safe.
 */
class WorkerClient {
public:
    virtual ~WorkerClient() = default;

    /**
     * Extends the run permit to `untilMicros` (0: asks for the report only) and
     * drops ended tasks. Errors: Unavailable, Conflict (a higher epoch is in force).
     */
    virtual Result<WorkerReport> renew(const Address&, std::uint64_t epoch, std::int64_t untilMicros, const std::vector<TaskKey>& forget, Time deadline) = 0;

    virtual WorkerAnswer prepare(const Address&, std::uint64_t epoch, const PreparedTask&, Time deadline) = 0;
    virtual WorkerAnswer start(const Address&, std::uint64_t epoch, const TaskKey&, std::int64_t startBeforeMicros, Time deadline) = 0;
    virtual WorkerAnswer checkpoint(const Address&, std::uint64_t epoch, const TaskKey&, std::int64_t deadlineMicros, Time deadline) = 0;
    virtual WorkerAnswer stop(const Address&, std::uint64_t epoch, const TaskKey&, Time deadline) = 0;
    virtual WorkerAnswer throttle(const Address&, std::uint64_t epoch, const TaskKey&, Time deadline) = 0;
};

}
