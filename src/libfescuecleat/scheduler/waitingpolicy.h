#pragma once

#include "scheduler/schedulerstate.h"

namespace fescuecleat {

/**
 * Looks at waiting jobs for what only time changes: reservations for aged ones,
 * moves that make a large cell whole, offers to other data centres, and the end
 * of those that can never run.
 */
class WaitingPolicy {
public:
    WaitingPolicy(SchedulerState& state, Time now)
        : state_(state)
        , now_(now)
    {
    }

    void runIfDue();

private:
    void run();
    void reserveForOldest();
    void defragment();
    void offerAndRefuse();
    bool tryDefragment(JobEntry&);
    bool fitsEmpty(const JobEntry&, bool avoidsFailed) const;
    /** Whether it fits an empty data centre; worked out once until workers change. */
    bool isKnownToFit(JobEntry&) const;
    void handleUnfit(JobEntry&);
    Duration earlyAge() const;
    /** Heads of the lines, the oldest first. */
    std::vector<JobId> headsByAge() const;

    SchedulerState& state_;
    Time now_;
};

}
