#pragma once

#include <string>
#include <vector>

namespace fescuecleat {

/** Splits "/v1/jobs/7" into "v1", "jobs", "7". */
std::vector<std::string> splitPath(const std::string& path);

}
