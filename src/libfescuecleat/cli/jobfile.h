#pragma once

#include "base/result.h"
#include "scheduler/jobspec.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** A job of a file and the owner whose key submits it. */
struct JobFileEntry {
    std::string name_;
    JobSpec spec_;
};

/**
 * Reads {"jobs": [{"name", "organisation", ...}]}, where the other members are
 * those of a submission. Reports every error with its path.
 */
Checked<std::vector<JobFileEntry>> parseJobFile(const std::string& text, const std::string& fileName);

}
