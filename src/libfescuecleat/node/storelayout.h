#pragma once

#include <string>
#include <vector>

namespace fescuecleat {

/** Part of the rows that the scheduler writes: its lease, the commit chain, job records and the summary. */
constexpr const char* schedulerPart = "scheduler";
/** Part of the instances' addresses. A part executes its transactions one after another, so these have their own. */
constexpr const char* instancesPart = "instances";

/** Rows that the scheduler publishes for all instances. */
constexpr const char* summaryTable = "summary";

/** All parts with rows that instances read or write; the first one, without a name, has the rows of others. */
std::vector<std::string> storeParts();

}
