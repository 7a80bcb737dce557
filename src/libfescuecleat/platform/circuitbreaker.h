#pragma once

#include "base/time.h"

#include <algorithm>

namespace fescuecleat {

/** When a circuit breaker opens and how long it stays open. */
struct CircuitBreakerLimits {
    /** Calls without an answer, one after the other, that open it. */
    int failures_ = 5;
    Duration firstPause_ { std::chrono::milliseconds(250) };
    Duration longestPause_ { std::chrono::seconds(5) };
};

/**
 * Keeps calls away from a service that doesn't answer, but for one probe after
 * each pause. Pure; the end of a pause is a stored deadline.
 */
class CircuitBreaker {
public:
    explicit CircuitBreaker(const CircuitBreakerLimits& limits = {})
        : limits_(limits)
        , pause_(limits.firstPause_)
    {
    }

    /** True if a call may be made now; while open, that call is the probe. */
    bool allows(Time now)
    {
        if (!isOpen())
            return true;
        if (now < probeAt_)
            return false;
        probeAt_ = now + pause_;
        return true;
    }

    /** Errors that are answers count as successes. */
    void succeeded()
    {
        failures_ = 0;
        pause_ = limits_.firstPause_;
    }

    void failed(Time now)
    {
        ++failures_;
        if (!isOpen())
            return;
        probeAt_ = now + pause_;
        pause_ = std::min(pause_ * 2, limits_.longestPause_);
    }

    bool isOpen() const { return failures_ >= limits_.failures_; }
    /** Next probe; meaningless unless open. */
    Time probeAt() const { return probeAt_; }

private:
    CircuitBreakerLimits limits_;
    int failures_ = 0;
    Duration pause_;
    Time probeAt_;
};

}
