#pragma once

#include "pool/poolstate.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace fescuecleat {

/**
 * Detects slow and stalled workers from the progress of their runs, and restarts units
 * on other workers where that is faster. Also evacuates draining workers.
 */
class HealthReview {
public:
    HealthReview(PoolState&, Time now);

    void run();

private:
    using UnitKey = std::pair<std::string, std::size_t>;

    /** Job, occurrence and step. Speeds are compared within a step because its tasks differ only in length. */
    using StepKey = std::pair<std::string, std::pair<int, int>>;

    bool hasUsableSpeed(const TaskRun&, const StepSpec&) const;
    bool isSlow(const TaskRun&, double medianSpeed) const;
    Duration normalDuration(const TaskRun&, const StepSpec&, double medianSpeed) const;
    void detectSlowWorkers();
    void restartIfFaster(const UnitKey&, const std::map<StepKey, double>& medianSpeeds);
    void evacuateDrainingWorkers();
    Duration remainingOnWorker(const TaskRun&, const StepSpec&) const;

    PoolState& state_;
    Time now_;
};

}
