#pragma once

#include "base/result.h"
#include "scheduler/jobspec.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** A job of a job file; the organisation in its specification selects the key. */
struct JobFileEntry {
    std::string name_;
    JobSpec spec_;
};

/**
 * Parses {"jobs": [{"name", "organisation", ...}]}, where the other members are
 * those of a submission. Reports all errors with their paths.
 */
ValidationResult<std::vector<JobFileEntry>> parseJobFile(const std::string& text, const std::string& fileName);

}
