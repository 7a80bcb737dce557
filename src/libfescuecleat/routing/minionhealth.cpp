#include "routing/minionhealth.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    constexpr int failuresInRowToEject = 4;
    constexpr double failureShareToEject = 0.5;
    constexpr int minAttemptsForShare = 10;
    /** Weight of the newest attempt in the moving average. */
    constexpr double smoothingFactor = 0.1;
    constexpr int successfulProbesToReinstate = 3;
    constexpr Duration initialEjectionDuration { std::chrono::seconds(1) };
    constexpr int maxBackoffDoublings = 5;

}

MinionCondition MinionHealth::condition(Time now) const
{
    if (!isEjected_)
        return MinionCondition::Healthy;
    return now < probeAt_ ? MinionCondition::Ejected : MinionCondition::Probing;
}

bool MinionHealth::record(HealthSignal signal, Time now)
{
    if (signal == HealthSignal::Neutral)
        return false;
    const bool isFailure = signal == HealthSignal::Failure;
    if (isEjected_) {
        // Attempts that began before the ejection don't count as probes.
        if (now < probeAt_)
            return false;
        if (isFailure)
            return true;
        if (++successfulProbes_ >= successfulProbesToReinstate)
            reset();
        return false;
    }
    ++attempts_;
    failuresInRow_ = isFailure ? failuresInRow_ + 1 : 0;
    failureShare_ += smoothingFactor * ((isFailure ? 1.0 : 0.0) - failureShare_);
    if (attempts_ >= minAttemptsForShare && failureShare_ < smoothingFactor)
        ejectionsInRow_ = 0;
    return shouldEject();
}

void MinionHealth::eject(Time now)
{
    const int doublings = std::min(ejectionsInRow_, maxBackoffDoublings);
    isEjected_ = true;
    ++ejectionsInRow_;
    successfulProbes_ = 0;
    failuresInRow_ = 0;
    failureShare_ = 0;
    attempts_ = 0;
    probeAt_ = now + initialEjectionDuration * (1 << doublings);
}

bool MinionHealth::shouldEject() const
{
    if (failuresInRow_ >= failuresInRowToEject)
        return true;
    return attempts_ >= minAttemptsForShare && failureShare_ >= failureShareToEject;
}

}
