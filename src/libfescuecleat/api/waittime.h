#pragma once

#include "base/result.h"
#include "base/time.h"
#include "http/httpmessage.h"

namespace fescuecleat {

/** How long a call waits for its result, as a long poll. */
struct WaitLimits {
    /** Wait without ?wait_ms=. */
    Duration default_ { 0 };
    /** Upper bound; longer waits are reduced to it. */
    Duration max_ { 0 };
};

/** Reads ?wait_ms=. Errors: OutOfRange if it is not a whole number. */
Result<Duration> parseWaitTime(const HttpRequest&, const WaitLimits&);

}
