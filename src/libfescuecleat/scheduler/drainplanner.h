#pragma once

#include "scheduler/schedulerstate.h"

namespace fescuecleat {

/**
 * Empties a data centre that was taken out. Work that ends before the deadline
 * is left alone. The rest is checkpointed a few gangs at a time, those first
 * that would lose the most work, since a checkpoint late in the queue may fail.
 */
class DrainPlanner {
public:
    DrainPlanner(SchedulerState& state, Time now)
        : state_(state)
        , now_(now)
    {
    }

    /** Begins: nothing that was not started will start. */
    void begin(Time deadline);
    /** Goes on: checkpoints the next gangs; stops what is left at the deadline. */
    void proceed();
    /** When proceed() is due. */
    static Time nextDeadline(const SchedulerState&);

private:
    /** Work, in units times time, that is gone if the gang is stopped without a checkpoint. */
    double workAtRisk(const JobEntry&) const;
    bool canLeave(const JobEntry&) const;
    bool endsInTime(const JobEntry&) const;
    void stopAll();

    SchedulerState& state_;
    Time now_;
};

}
