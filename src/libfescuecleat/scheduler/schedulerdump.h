#pragma once

#include "scheduler/schedulerstate.h"
#include "json/json.h"

#include <string>

namespace fescuecleat {

/** The whole state as JSON, ordered by id. */
JsonValue dumpState(const SchedulerState&, Time now);

/** What a job waits for or does, in sentences. */
std::string explainJob(const SchedulerState&, const JobId&, Time now);

}
