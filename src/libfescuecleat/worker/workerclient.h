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

/** A task to be prepared on a worker, with the positions of the accelerators reserved for it. */
struct PreparedTask {
    TaskKey task_;
    std::vector<int> accelerators_;
    JobSpec spec_;
};

/**
 * Sends commands to workers. Calls block until they are answered or the deadline
 * has passed. Clock values are microseconds of the clock of the worker.
 * Thread-safe.
 */
class WorkerClient {
public:
    virtual ~WorkerClient() = default;

    /**
     * Extends the run permit to `untilMicros` (0: only requests the report) and
     * makes the worker drop the ended tasks in `forget`. Errors: Unavailable,
     * Conflict (the worker has seen a higher epoch), those of parseWorkerReport().
     */
    virtual Result<WorkerReport> renew(const Address&, std::uint64_t epoch, std::int64_t untilMicros, const std::vector<TaskKey>& forget, Time deadline) = 0;

    virtual WorkerAnswer prepare(const Address&, std::uint64_t epoch, const PreparedTask&, Time deadline) = 0;
    virtual WorkerAnswer start(const Address&, std::uint64_t epoch, const TaskKey&, std::int64_t startBeforeMicros, Time deadline) = 0;
    virtual WorkerAnswer checkpoint(const Address&, std::uint64_t epoch, const TaskKey&, std::int64_t deadlineMicros, Time deadline) = 0;
    virtual WorkerAnswer stop(const Address&, std::uint64_t epoch, const TaskKey&, Time deadline) = 0;
    virtual WorkerAnswer throttle(const Address&, std::uint64_t epoch, const TaskKey&, Time deadline) = 0;
};

}
