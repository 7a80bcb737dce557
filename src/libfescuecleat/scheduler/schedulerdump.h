#pragma once

#include "scheduler/schedulerstate.h"
#include "json/json.h"

#include <string>

namespace fescuecleat {

/** The complete state as JSON, jobs ordered by id. */
JsonValue dumpState(const SchedulerState&, Time now);

/** Human-readable explanation of what a job does or waits for. */
std::string explainJob(const SchedulerState&, const JobId&, Time now);

}
