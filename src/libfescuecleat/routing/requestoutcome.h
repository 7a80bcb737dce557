#pragma once

#include "base/time.h"
#include "http/httpmessage.h"

#include <string>
#include <variant>

namespace fescuecleat {

/** The minion's whole answer to this very request. */
struct Answered {
    int status_ = 200;
    HttpHeaders headers_;
    std::string body_;
};

/** The request did not run and will not run. */
struct NotRun {
    std::string reason_;
    /** When the caller may come back; spread so that callers don't return together. */
    Time retryAt_;
};

/** The request may or may not have run. */
struct OutcomeUnknown {
    std::string reason_;
};

/** How a request ended. There are no other ways. */
using RequestOutcome = std::variant<Answered, NotRun, OutcomeUnknown>;

}
