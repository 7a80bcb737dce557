#pragma once

#include "base/result.h"
#include "scheduler/jobspec.h"
#include "json/json.h"

namespace fescuecleat {

/**
 * Reads the body of POST /v1/jobs. The job has no id yet. Its organisation is
 * that of the caller's key; the body can't name one.
 */
ValidationResult<JobSpec> parseJobSubmission(const JsonValue&, const OrganisationId&);

/** Writes the body, for clients. */
JsonValue writeJobSubmission(const JobSpec&);

}
