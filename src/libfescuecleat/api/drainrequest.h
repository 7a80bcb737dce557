#pragma once

#include "base/result.h"
#include "base/time.h"
#include "json/json.h"

namespace fescuecleat {

/** The body of POST /v1/data-centres/DC/out: the deadline by which running work must have ended. */
struct DrainRequest {
    Time deadline_;
};

/** Reads {"deadline_ms": milliseconds from now until the deadline}. */
ValidationResult<DrainRequest> parseDrainRequest(const JsonValue&, Time now);

}
