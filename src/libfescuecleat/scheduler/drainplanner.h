#pragma once

#include "scheduler/schedulerstate.h"

namespace fescuecleat {

/**
 * Drains a data centre that was taken out of service. Jobs expected to finish
 * before the deadline keep running. The others are checkpointed a few gangs at
 * a time, those with the most work at risk first, because checkpoints taken
 * close to the deadline may fail.
 */
class DrainPlanner {
public:
    DrainPlanner(SchedulerState& state, Time now)
        : state_(state)
        , now_(now)
    {
    }

    /** Starts the drain: requeues gangs that are not started yet and stops placing jobs. */
    void begin(Time deadline);
    /** Checkpoints the next gangs; stops all remaining gangs at the deadline. */
    void advance();
    /** When advance() is due next; Time::max() if no gang is left to drain. */
    static Time nextDeadline(const SchedulerState&);

private:
    /** Work lost if the gang is stopped without a checkpoint, as capacity units times time. */
    double workAtRisk(const JobEntry&) const;
    bool canCheckpointNow(const JobEntry&) const;
    bool endsBeforeReserve(const JobEntry&) const;
    void stopAll();

    SchedulerState& state_;
    Time now_;
};

}
