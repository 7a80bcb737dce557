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

/** What becomes of a job once all of its tasks have ended. */
enum class AfterStop {
    Requeue,
    Fail,
    Cancel,
    /** Another data centre took it over: nothing is recorded. */
    Forget,
};

/** Who is to blame for a gang that ended early. */
enum class Blame {
    /** Neither the job nor a worker: preempted, moved, permit lapsed. */
    None,
    /** The job itself, as by taking more memory than it declared. */
    Job,
    /** A task failed: shared between the job and the worker. */
    JobAndWorker,
    /** The worker refused or vanished. */
    Worker,
};

/** A job of this data centre and its gang. */
struct JobEntry {
    JobSpec spec_;
    Time submitted_;
    /** Placements so far, in any data centre. */
    int attempts_ = 0;
    /** Placements that ended by a failure, the job's own part of the blame. */
    int failures_ = 0;
    /** Placements that ended by the fault of a worker. */
    int disturbances_ = 0;
    double checkpointedShare_ = 0;
    /** The declared shape, corrected by what was seen in use. */
    TaskShape shape_;
    /** Workers on which a task of it failed. */
    std::set<int> failedOn_;

    JobPhase phase_ = JobPhase::Queued;
    /** The state that was recorded last. */
    JobState recorded_ = JobState::Queued;
    std::vector<GangTask> tasks_;
    /** True once a start of any attempt was or may have been sent. */
    bool wasStartSent_ = false;
    /** True if it is placed outside its organisation's guarantee. */
    bool isBorrower_ = false;
    /** When the running attempt began to run. */
    Time startedAt_;
    /** Share of the work that was done before the running attempt. */
    double shareAtStart_ = 0;
    /** When it began to wait, for the last time. */
    Time queuedAt_;
    /** When the phase is given up; Time::max() if never. */
    Time phaseDeadline_ = Time::max();
    /** When unanswered messages are sent again. */
    Time resendAt_ = Time::max();
    /** Set while Stopping. */
    AfterStop afterStop_ = AfterStop::Requeue;
    Blame blame_ = Blame::None;
    std::string stopReason_;
    /** True while its tasks write checkpoints, before they are stopped hard. */
    bool isCheckpointing_ = false;
    /** Live tasks of earlier attempts; it is not placed before they ended. */
    int strays_ = 0;
    /** Entry in the timer list; Time::max() if none. */
    Time wakeAt_ = Time::max();
    /** True if a place is kept for it. */
    bool hasReservation_ = false;
    /** Times it was offered to other data centres as one that can't be placed here. */
    int offers_ = 0;
    /** Version of the workers at which it was found to fit an empty data centre. */
    std::uint64_t fittedAt_ = 0;
    /** When it may be offered next. */
    Time nextOfferAt_ = Time::min();

    TaskKey taskKey(int index) const { return TaskKey { spec_.id_, attempts_, index }; }
};

}
