#pragma once

#include "load/repeat.h"
#include "load/testbed.h"

#include <map>
#include <string>
#include <vector>

namespace fescuecleat {

/** Values by name; names end in their unit. */
using Measures = std::map<std::string, double>;

/** Time series: seconds since the start of the repeat, and values. */
using Series = std::vector<std::pair<double, double>>;

/** Scalar measures and time series of one repeat. */
struct RepeatMeasures {
    Measures values_;
    std::map<std::string, Series> series_;
};

/** True if higher values of the measure are better. */
bool isHigherBetter(const std::string& measure);

/**
 * Computes the measures of a repeat. Completion times count from the scheduled
 * send time; fragmentation and completed work come from the workers' logs.
 * Fragmentation is the share of all accelerators that are free on partly used
 * workers, where jobs that need a whole worker can't use them.
 */
RepeatMeasures measure(const Testbed&, const RepeatRecord&);

}
