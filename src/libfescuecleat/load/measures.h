#pragma once

#include "load/repeat.h"
#include "load/testbed.h"

#include <map>
#include <string>
#include <vector>

namespace fescuecleat {

/** Values by name; the unit is the end of the name. */
using Measures = std::map<std::string, double>;

/** Points of a plot: seconds since the start of the repeat, and the value. */
using Series = std::vector<std::pair<double, double>>;

/** What one repeat shows: single values and courses over time. */
struct RepeatMeasures {
    Measures values_;
    std::map<std::string, Series> series_;
};

/** Whether a rise of the measure is good. */
bool isBetterHigher(const std::string& measure);

/**
 * Measures a repeat: completion times from the intended time on, fragmentation
 * and completed work from the workers' logs. Fragmentation is the share of all
 * accelerators that are free on a worker of which others are taken, so that no
 * job that needs a whole worker can use them.
 */
RepeatMeasures measure(const Testbed&, const RepeatRecord&);

}
