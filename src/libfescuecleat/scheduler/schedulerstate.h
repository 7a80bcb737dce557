#pragma once

#include "scheduler/capacityunits.h"
#include "scheduler/guaranteeledger.h"
#include "scheduler/healthledger.h"
#include "scheduler/jobentry.h"
#include "scheduler/jobqueue.h"
#include "scheduler/reservation.h"
#include "scheduler/runtimeestimator.h"
#include "scheduler/scheduleraction.h"
#include "scheduler/straytask.h"
#include "scheduler/timerlist.h"
#include "scheduler/workertable.h"
#include "settings/configuration.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace fescuecleat {

/** Everything that the scheduler knows. Only the parts of the scheduler touch it. */
struct SchedulerState {
    Configuration configuration_;
    WorkerTable workers_;
    std::unordered_map<JobId, JobEntry> jobs_;
    JobQueue queue_;
    TimerList timers_;
    std::map<TaskKey, StrayTask> strays_;
    GuaranteeLedger ledger_;
    std::map<JobId, Reservation> reservations_;
    HealthLedger health_;
    RunTimeEstimator estimator_;
    /** When work was moved for defragmentation, oldest first. */
    std::deque<Time> moves_;
    /** What each organisation's borrowing gangs hold, in units of capacity. */
    std::map<OrganisationId, std::int64_t> borrowedUnits_;
    /** Changes of what an organisation's homes could take. */
    std::map<OrganisationId, std::uint64_t> guaranteeChanges_;
    std::uint64_t binds_ = 0;
    /** When homes are laid again; Time::max() if nothing changed. */
    Time bindAt_ = Time::max();
    /** When waiting jobs are looked at for what only time changes. */
    Time nextPolicyAt_ = Time::max();
    std::optional<Time> firstEventAt_;
    /** Jobs that ended lately, oldest first, and until when they are remembered. */
    std::deque<std::pair<Time, JobId>> endedInOrder_;
    std::set<JobId> ended_;
    /** Gangs that are prepared and wait for a start permit. */
    std::set<JobId> awaitingPermit_;
    /** Gangs between placement and running. */
    int gangsStarting_ = 0;
    Time startPermitUntil_ = Time::min();
    /** Set while the data centre is taken out: when running work has to have ended. */
    std::optional<Time> takenOutUntil_;
    /** When the next gangs are told to leave a data centre that was taken out. */
    Time nextDrainAt_ = Time::min();
    /** Actions of the event in hand, in order. */
    std::vector<SchedulerAction> actions_;

    bool mayStart(Time now) const { return !takenOutUntil_ && now < startPermitUntil_; }

    void touchGuarantee(const OrganisationId& organisation) { ++guaranteeChanges_[organisation]; }

    /** Grows whenever an organisation's homes may take more than before. */
    std::uint64_t guaranteeVersion(const OrganisationId& organisation) const
    {
        const auto changes = guaranteeChanges_.find(organisation);
        return (changes == guaranteeChanges_.end() ? 0 : changes->second) + binds_ + workers_.topologyVersion();
    }

    /** Weight of an organisation among borrowers. */
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
