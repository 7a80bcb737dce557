#pragma once

#include "base/id.h"
#include "base/result.h"
#include "scheduler/schedulerevent.h"
#include "scheduler/worker.h"
#include "json/json.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuecleat {

/** State of a worker and its tasks, sent in answer to a renewal. */
struct WorkerReport {
    WorkerId worker_;
    RackId rack_;
    DataCentreId dataCentre_;
    WorkerCapacity capacity_;
    /** Monotonic clock of the worker in microseconds when it answered. */
    std::int64_t clockMicros_ = 0;
    /** Highest epoch that the worker has seen. */
    std::uint64_t epoch_ = 0;
    std::vector<TaskReported> tasks_;
};

/** Parses a report. Errors: that of the first invalid member. */
Result<WorkerReport> parseWorkerReport(const JsonValue&);

/** Writes a task as {"job", "attempt", "index"}. */
JsonValue writeTaskKey(const TaskKey&);

}
