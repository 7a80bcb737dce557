#pragma once

#include "base/result.h"
#include "base/time.h"
#include "http/httpmessage.h"

namespace fescuecleat {

/** How long a call may wait for what it asks for. */
struct WaitTimes {
    /** If the caller says nothing. */
    Duration usual_ { 0 };
    /** However long the caller would wait. */
    Duration most_ { 0 };
};

/** Reads ?wait_ms=. Errors: OutOfRange, it is no whole number. */
Result<Duration> parseWaitTime(const HttpRequest&, const WaitTimes&);

}
