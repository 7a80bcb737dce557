#pragma once

#include "base/result.h"
#include "base/time.h"
#include "http/httpmessage.h"

#include <string>

namespace fescuecleat {

/** How a caller wants its request to a service handled, from header fields and query. */
struct RequestOptions {
    /** Kind of request, passed on to the minion. */
    std::string kind_;
    Time deadline_;
    /** Repeated calls with the same key get the recorded outcome. */
    std::string idempotencyKey_;
    /** False: it runs at most once. */
    bool isIdempotent_ = true;
};

/**
 * Reads ?kind=, x-deadline-ms (what remains until the deadline),
 * idempotency-key and x-idempotent.
 */
Checked<RequestOptions> parseRequestOptions(const HttpRequest&, Time now);

}
