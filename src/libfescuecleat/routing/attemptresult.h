#pragma once

#include "http/httpmessage.h"

#include <string>
#include <variant>

namespace fescuecleat {

/** The whole answer came and names the request. */
struct WholeAnswer {
    HttpResponse response_;
};

/** The minion said that the work did not and will not run. */
struct NotStarted {
};

/** Nothing left this process. */
struct NeverSent {
    std::string message_;
};

/** Sent, but there is no answer that may be given to the caller. */
struct NoUsableAnswer {
    std::string message_;
};

/** How one dispatch to a minion ended. */
using AttemptResult = std::variant<WholeAnswer, NotStarted, NeverSent, NoUsableAnswer>;

}
