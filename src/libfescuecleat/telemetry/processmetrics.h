#pragma once

#include "base/time.h"
#include "telemetry/metrics.h"

namespace fescuecleat {

/** Resident memory of this process in bytes; zero if the system doesn't tell. */
std::int64_t residentBytes();

/** Processor time of all threads of this process since its start. */
Duration processorTime();

/** Refreshes the gauges of memory and processor time; call before each exposition. */
void updateProcessMetrics(Metrics&);

}
