#pragma once

#include "scheduler/capacityunits.h"
#include "scheduler/guaranteeallocator.h"
#include "scheduler/jobentry.h"
#include "scheduler/jobqueue.h"
#include "scheduler/orphantask.h"
#include "scheduler/reservation.h"
#include "scheduler/runtimeestimator.h"
#include "scheduler/scheduleraction.h"
#include "scheduler/timerlist.h"
#include "scheduler/workerhealthtracker.h"
#include "scheduler/workertable.h"
#include "settings/configuration.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace fescuecleat {

/** Complete state of the scheduler, shared by its components. */
struct SchedulerState {
    Configuration configuration_;
    WorkerTable workers_;
    std::unordered_map<JobId, JobEntry> jobs_;
    JobQueue queue_;
    TimerList timers_;
    std::map<TaskKey, OrphanTask> orphans_;
    GuaranteeAllocator guarantees_;
    std::map<JobId, Reservation> reservations_;
    WorkerHealthTracker health_;
    RunTimeEstimator estimator_;
    /** Times of moves for defragmentation, oldest first. */
    std::deque<Time> defragmentationMoves_;
    /** Capacity units borrowed by the gangs of each organisation. */
    std::map<OrganisationId, std::int64_t> borrowedUnits_;
    /** Number of releases in the guaranteed cells of each organisation. */
    std::map<OrganisationId, std::uint64_t> guaranteeChanges_;
    /** Number of reassignments of the guaranteed cells. */
    std::uint64_t bindCount_ = 0;
    /** When the guaranteed cells are reassigned; Time::max() if not needed. */
    Time bindAt_ = Time::max();
    /** When the waiting policy runs next. */
    Time nextPolicyAt_ = Time::max();
    std::optional<Time> firstEventAt_;
    /** Recently ended jobs with the time until which they are remembered, oldest first. */
    std::deque<std::pair<Time, JobId>> endedJobExpiries_;
    std::set<JobId> endedJobs_;
    /** Prepared gangs that wait for a start permit. */
    std::set<JobId> awaitingPermit_;
    /** Gangs between placement and running. */
    int gangsStarting_ = 0;
    Time startPermitUntil_ = Time::min();
    /** Deadline for running work; set while the data centre is out of service. */
    std::optional<Time> drainDeadline_;
    /** When the drain checkpoints further gangs. */
    Time nextDrainStepAt_ = Time::min();
    /** Actions for the current event, in order. */
    std::vector<SchedulerAction> actions_;

    bool mayStart(Time now) const { return !drainDeadline_ && now < startPermitUntil_; }

    void noteGuaranteeChange(const OrganisationId& organisation) { ++guaranteeChanges_[organisation]; }

    /** Increases whenever capacity may have become available in the organisation's guaranteed cells. */
    std::uint64_t guaranteeVersion(const OrganisationId& organisation) const
    {
        const auto changes = guaranteeChanges_.find(organisation);
        return (changes == guaranteeChanges_.end() ? 0 : changes->second) + bindCount_ + workers_.topologyVersion();
    }

    /** Weight of the organisation in the fair sharing of borrowed capacity. */
    double weightOf(const OrganisationId& organisation) const
    {
        for (const OrganisationConfiguration& candidate : configuration_.organisations_) {
            if (candidate.id_ == organisation && candidate.weight_ > 0)
                return candidate.weight_;
        }
        return 1;
    }

    JobEntry* findJob(const JobId& id)
    {
        const auto position = jobs_.find(id);
        return position == jobs_.end() ? nullptr : &position->second;
    }
    const JobEntry* findJob(const JobId& id) const
    {
        const auto position = jobs_.find(id);
        return position == jobs_.end() ? nullptr : &position->second;
    }
};

}
