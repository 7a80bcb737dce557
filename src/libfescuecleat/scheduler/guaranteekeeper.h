#pragma once

#include "scheduler/schedulerstate.h"

namespace fescuecleat {

/** Lays homes when workers or guarantees changed, and charges running gangs to them. */
class GuaranteeKeeper {
public:
    GuaranteeKeeper(SchedulerState& state, Time now)
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
