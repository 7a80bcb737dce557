#pragma once

#include "scheduler/schedulerstate.h"

namespace fescuecleat {

/**
 * Time-dependent policies for queued jobs: reservations for aged jobs,
 * defragmentation for large gangs, offers to other data centres, and failing
 * jobs that can never run.
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
    void offerOrFail();
    bool tryDefragment(JobEntry&);
    bool fitsWorkersIfEmpty(const JobEntry&, bool excludesFailed) const;
    /** True if the job fits an empty data centre; the result is cached until the topology changes. */
    bool fitsEmptyDataCentre(JobEntry&) const;
    void handleUnfit(JobEntry&);
    Duration earlyAge() const;
    /** First job of each class queue, oldest first. */
    std::vector<JobId> headsByAge() const;

    SchedulerState& state_;
    Time now_;
};

}
