#pragma once

#include "base/time.h"
#include "http/httpmessage.h"

#include <string>
#include <variant>

namespace fescuecleat {

/** The minion's complete answer to the request. */
struct Answered {
    int status_ = 200;
    HttpHeaders headers_;
    std::string body_;
};

/** The request did not run and will not run. */
struct NotRun {
    std::string reason_;
    /** When the caller may retry; has jitter, so that callers don't retry at the same time. */
    Time retryAt_;
};

/** The request may or may not have run. */
struct OutcomeUnknown {
    std::string reason_;
};

/** Outcome of a request. */
using RequestOutcome = std::variant<Answered, NotRun, OutcomeUnknown>;

}
