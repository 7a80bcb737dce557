#pragma once

#include "base/time.h"

namespace fescuecleat {

/** Backoff and timeout of the attempts of a call to the platform. */
struct RetryPolicy {
    /** Backoff after the first failed attempt; doubled after each further one. */
    Duration initialBackoff_ { std::chrono::milliseconds(20) };
    Duration maxBackoff_ { std::chrono::milliseconds(500) };
    /** Timeout of one attempt; leaves time for an attempt on a new connection if the reused one is dead. */
    Duration attemptTimeout_ { std::chrono::seconds(1) };
};

}
