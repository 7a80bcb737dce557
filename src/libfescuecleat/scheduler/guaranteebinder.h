#pragma once

#include "scheduler/schedulerstate.h"

namespace fescuecleat {

/** Assigns guaranteed cells after workers or guarantees have changed, and charges running gangs to them. */
class GuaranteeBinder {
public:
    GuaranteeBinder(SchedulerState& state, Time now)
        : state_(state)
        , now_(now)
    {
    }

    void bindIfDue();

private:
    void bind();
    OwnedAccelerators ownedAccelerators() const;
    void chargeGangs();
    void chargeGang(JobEntry&);

    SchedulerState& state_;
    Time now_;
};

}
