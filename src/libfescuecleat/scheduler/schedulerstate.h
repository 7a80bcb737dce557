#pragma once

#include "scheduler/jobentry.h"
#include "scheduler/jobqueue.h"
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
    /** Actions of the event in hand, in order. */
    std::vector<SchedulerAction> actions_;

    bool mayStart(Time now) const { return !takenOutUntil_ && now < startPermitUntil_; }

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
