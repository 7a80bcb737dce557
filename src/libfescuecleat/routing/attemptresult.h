#pragma once

#include "http/httpmessage.h"

#include <string>
#include <variant>

namespace fescuecleat {

/** A complete answer that echoes the request id. */
struct CompleteAnswer {
    HttpResponse response_;
};

/** The minion refused the request: it has not run and will not run. */
struct NotStarted {
};

/** No byte of the request was sent. */
struct NotSent {
    std::string message_;
};

/** The request was sent but no answer came that may be passed on to the caller. */
struct UnusableAnswer {
    std::string message_;
};

/** Result of one dispatch to a minion. */
using AttemptResult = std::variant<CompleteAnswer, NotStarted, NotSent, UnusableAnswer>;

}
