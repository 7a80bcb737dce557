#pragma once

#include "pool/placementexplanation.h"
#include "pool/poolscheduler.h"

#include <cstdint>
#include <optional>
#include <string>

namespace fescuecleat {

/**
 * Finds what the scheduler would do now with a job, by passes over a copy of its state.
 * Nothing is started, and the scheduler itself doesn't change.
 */
class PlacementExplainer {
public:
    /** Copies the scheduler's state. */
    PlacementExplainer(const PoolScheduler&, Time now, std::int64_t unixMs);

    /** Explains a job that is known; nothing if it isn't. */
    std::optional<PlacementExplanation> explain(const std::string& job);
    /** Explains a job as if it were submitted now. */
    PlacementExplanation explain(PoolJobSpec, const JobPolicy&);

private:
    PlacementExplanation explainKnown(const std::string& job);
    void runPasses();
    /** Tasks of the step that wait, as far as they are counted; units that aren't due don't count. */
    std::int64_t waitingTasks(const Job&, int step) const;
    void countRoom(const Job&, StepExplanation&) const;
    WaitCause causeOf(const Job&, const StepExplanation&, bool hasPreempted) const;

    PoolScheduler scheduler_;
    Time now_;
    std::int64_t unixMs_;
    Decisions decisions_;
};

}
