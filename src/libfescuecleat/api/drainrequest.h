#pragma once

#include "base/result.h"
#include "base/time.h"
#include "json/json.h"

namespace fescuecleat {

/** The body of POST /v1/data-centres/DC/out: running work ends by this deadline. */
struct DrainRequest {
    Time deadline_;
};

/** Reads {"deadline_ms": what remains until the deadline}. */
Checked<DrainRequest> parseDrainRequest(const JsonValue&, Time now);

}
