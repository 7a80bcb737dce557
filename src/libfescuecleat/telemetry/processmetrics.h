#pragma once

#include "base/time.h"
#include "telemetry/metrics.h"

namespace fescuecleat {

/** Resident memory of this process in bytes; zero if it can't be read. */
std::int64_t residentBytes();

/** CPU time (user and system) of all threads of this process since its start. */
Duration processorTime();

/** Updates the gauges for memory and CPU time. Call before each exposition. */
void updateProcessMetrics(Metrics&);

}
