#pragma once

#include "base/time.h"

#include <algorithm>

namespace fescuecleat {

/** Thresholds of a circuit breaker. */
struct CircuitBreakerLimits {
    /** Consecutive failures that open the breaker. */
    int failureThreshold_ = 5;
    /** Time from opening to the first probe; doubled after each failed probe. */
    Duration initialOpenInterval_ { std::chrono::milliseconds(250) };
    Duration maxOpenInterval_ { std::chrono::seconds(5) };
};

/**
 * Circuit breaker. While it is open it allows one call, the probe, per open
 * interval. Reads no clock and does no I/O.
 */
class CircuitBreaker {
public:
    explicit CircuitBreaker(const CircuitBreakerLimits& limits = {})
        : limits_(limits)
        , openInterval_(limits.initialOpenInterval_)
    {
    }

    /** True if a call may be sent now. While the breaker is open, that call is the probe. */
    bool allows(Time now)
    {
        if (!isOpen())
            return true;
        if (now < probeAt_)
            return false;
        probeAt_ = now + openInterval_;
        return true;
    }

    /** Call this for error answers too: they show that the service is up. */
    void succeeded()
    {
        failures_ = 0;
        openInterval_ = limits_.initialOpenInterval_;
    }

    /** A call got no answer. */
    void failed(Time now)
    {
        ++failures_;
        if (!isOpen())
            return;
        probeAt_ = now + openInterval_;
        openInterval_ = std::min(openInterval_ * 2, limits_.maxOpenInterval_);
    }

    bool isOpen() const { return failures_ >= limits_.failureThreshold_; }
    /** Time of the next probe; only valid while the breaker is open. */
    Time probeAt() const { return probeAt_; }

private:
    CircuitBreakerLimits limits_;
    int failures_ = 0;
    Duration openInterval_;
    Time probeAt_;
};

}
