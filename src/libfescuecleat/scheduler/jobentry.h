#pragma once

#include "base/time.h"
#include "scheduler/gangtask.h"
#include "scheduler/jobphase.h"
#include "scheduler/jobspec.h"
#include "scheduler/taskkey.h"
#include "state/jobstate.h"

#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/** What happens to a stopped job once all of its tasks have ended. */
enum class AfterStop {
    Requeue,
    Fail,
    Cancel,
    /** Another data centre took the job over: drop it without a record. */
    Forget,
};

/** What a gang that ended early is attributed to. */
enum class FailureCause {
    /** Neither the job nor a worker: preemption, move or expired start permit. */
    None,
    /** The job itself, for example because it exceeded its declared memory. */
    Job,
    /** A task failed, which either the job or the worker may have caused. */
    JobAndWorker,
    /** The worker refused a task or was lost. */
    Worker,
};

/** A job of this data centre with its gang and scheduling state. */
struct JobEntry {
    JobSpec spec_;
    Time submitted_;
    /** Number of placements so far, in all data centres. */
    int attempts_ = 0;
    /** Placements that ended by a failure attributed to the job. */
    int failures_ = 0;
    /** Consecutive placements that ended because of a worker. */
    int interruptions_ = 0;
    double checkpointedShare_ = 0;
    /** The declared shape, with memory raised to the observed use after it was exceeded. */
    TaskShape shape_;
    /** Workers on which a task of the job failed. */
    std::set<int> failedWorkers_;

    JobPhase phase_ = JobPhase::Queued;
    /** The last state written to the job table. */
    JobState recordedState_ = JobState::Queued;
    std::vector<GangTask> tasks_;
    /** True once a start request of any attempt was sent or may have been sent. */
    bool wasStartSent_ = false;
    /** True if the job is placed outside its organisation's guarantee. */
    bool isBorrower_ = false;
    /** When the current attempt started to run. */
    Time startedAt_;
    /** Share of the work completed before the current attempt, 0 to 1. */
    double shareAtStart_ = 0;
    /** When the job was last queued. */
    Time queuedAt_;
    /** When the phase times out; Time::max() if never. */
    Time phaseDeadline_ = Time::max();
    /** When unanswered requests are sent again; Time::max() if never. */
    Time resendAt_ = Time::max();
    /** Valid in the Stopping phase, with the cause and reason below. */
    AfterStop afterStop_ = AfterStop::Requeue;
    FailureCause failureCause_ = FailureCause::None;
    std::string stopReason_;
    /** True in the Stopping phase while tasks write checkpoints; they are killed at the deadline. */
    bool isCheckpointing_ = false;
    /** Live tasks of earlier attempts. The job is not placed until they have ended. */
    int orphans_ = 0;
    /** Time of the entry in the timer list; Time::max() if none. */
    Time nextTimerAt_ = Time::max();
    /** True if a placement is reserved for the job. */
    bool hasReservation_ = false;
    /** Number of offers to other data centres because the job can't be placed here. */
    int offers_ = 0;
    /** Topology version at which the job was found to fit an empty data centre. */
    std::uint64_t fitsAtVersion_ = 0;
    /** When the job may be offered to other data centres again. */
    Time nextOfferAt_ = Time::min();

    TaskKey taskKey(int index) const { return TaskKey { spec_.id_, attempts_, index }; }
};

}
