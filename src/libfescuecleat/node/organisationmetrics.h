#pragma once

#include "pool/poolstate.h"

#include <string>

namespace fescuecleat {

/** Use and limit of each organisation and resource, and the jobs that wait because of a limit, in the text format of metrics. */
std::string organisationMetrics(const PoolState&);

}
