#pragma once

#include "pool/poolstate.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

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
    using UnitKey = std::pair<std::string, UnitId>;

    using RunIterator = std::map<RunId, TaskRun>::const_iterator;

    struct SlowUnit {
        Job* job_;
        UnitId unit_;
        /** Median speed of the step's runs, in percent per second. */
        double medianSpeed_;
    };

    bool hasUsableSpeed(const TaskRun&, const StepSpec&) const;
    bool isSlow(const TaskRun&, double medianSpeed) const;
    Duration normalDuration(const TaskRun&, const StepSpec&, double medianSpeed) const;
    void detectSlowWorkers();
    /** Adds the slow units among the runs of one step, whose tasks differ only in length. */
    void detectSlowRuns(Job&, RunIterator first, RunIterator end, std::vector<SlowUnit>&);
    void restartIfFaster(const SlowUnit&);
    void evacuateDrainingWorkers();
    /** Whether a run's unit is expected to end before its worker leaves in the given time. */
    bool isExpectedToFinish(const Job&, const TaskRun&, Duration left) const;
    Duration remainingOnWorker(const TaskRun&, const StepSpec&) const;

    PoolState& state_;
    Time now_;
};

}
