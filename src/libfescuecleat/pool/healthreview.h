#pragma once

#include "pool/poolstate.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace fescuecleat {

/** Finds slow, stalled and leaving workers from the progress of what runs there, and moves work that is better off elsewhere. */
class HealthReview {
public:
    HealthReview(PoolState&, Time now);

    void run();

private:
    using UnitName = std::pair<std::string, std::size_t>;

    /** Job, occurrence and step: tasks of one step are alike but for their length. */
    using StepName = std::pair<std::string, std::pair<int, int>>;

    bool isMeasured(const TaskRun&, const StepSpec&) const;
    bool isSlow(const TaskRun&, double stepSpeed) const;
    Duration normalDuration(const TaskRun&, const StepSpec&, double stepSpeed) const;
    void reviewProgress();
    void moveIfBetter(const UnitName&, const std::map<StepName, double>& stepSpeeds);
    void reviewDraining();
    Duration remainingHere(const TaskRun&, const StepSpec&) const;

    PoolState& state_;
    Time now_;
};

}
