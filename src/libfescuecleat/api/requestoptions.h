#pragma once

#include "base/result.h"
#include "base/time.h"
#include "http/httpmessage.h"

#include <string>

namespace fescuecleat {

/** Options of a request to a service, from its header fields and query. */
struct RequestOptions {
    /** Kind of request, forwarded to the minion. */
    std::string kind_;
    Time deadline_;
    /** Repeated requests with the same key get the recorded outcome. */
    std::string idempotencyKey_;
    /** If false, the request runs at most once. */
    bool isIdempotent_ = true;
};

/**
 * Reads ?kind=, x-deadline-ms (milliseconds from now until the deadline),
 * idempotency-key and x-idempotent. Returns all errors found.
 */
ValidationResult<RequestOptions> parseRequestOptions(const HttpRequest&, Time now);

}
