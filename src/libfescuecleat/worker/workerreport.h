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

/** What a worker says of itself in answer to a renewal. */
struct WorkerReport {
    WorkerId worker_;
    RackId rack_;
    DataCentreId dataCentre_;
    WorkerCapacity capacity_;
    /** The worker's own monotonic clock in microseconds when it answered. */
    std::int64_t clockMicros_ = 0;
    /** Highest epoch that the worker has seen. */
    std::uint64_t epoch_ = 0;
    std::vector<TaskReported> tasks_;
};

/** Parses a worker's report. Errors: those of the first member that is wrong. */
Result<WorkerReport> parseWorkerReport(const JsonValue&);

/** Writes a task as {"job", "attempt", "index"}. */
JsonValue writeTaskKey(const TaskKey&);

}
