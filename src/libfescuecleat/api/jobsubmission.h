#pragma once

#include "base/result.h"
#include "scheduler/jobspec.h"
#include "json/json.h"

namespace fescuecleat {

/**
 * Reads the body of POST /v1/jobs. The job has no id yet; the organisation is
 * that of the caller's key, never one that the body names.
 */
Checked<JobSpec> parseJobSubmission(const JsonValue&, const OrganisationId&);

/** The same body, for clients. */
JsonValue toSubmission(const JobSpec&);

}
