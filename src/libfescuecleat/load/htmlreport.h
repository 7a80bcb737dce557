#pragma once

#include "load/experimentresult.h"

#include <string>

namespace fescuecleat {

/** One page with tables and inline plots that opens without a network. */
std::string htmlReport(const ExperimentResult&);

}
