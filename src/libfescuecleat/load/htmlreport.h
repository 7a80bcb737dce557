#pragma once

#include "load/experimentresult.h"

#include <string>

namespace fescuecleat {

/** Creates a self-contained HTML page with tables and inline plots. */
std::string htmlReport(const ExperimentResult&);

}
