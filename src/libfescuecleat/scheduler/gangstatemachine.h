#pragma once

#include "scheduler/schedulerevent.h"
#include "scheduler/schedulerstate.h"
#include "scheduler/taskplace.h"

#include <string>

namespace fescuecleat {

/**
 * State machine of the gangs. The tasks of a gang are prepared, started and
 * stopped together. A gang keeps its devices and is not placed again until all
 * of its tasks are confirmed to have ended.
 */
class GangStateMachine {
public:
    GangStateMachine(SchedulerState& state, Time now)
        : state_(state)
        , now_(now)
    {
    }

    void submit(const JobSubmitted&);
    void cancel(const JobId&);
    void forget(const JobId&);
    /** Records the placement of a queued job and sends its prepare requests. */
    void place(JobEntry&, const Placement&);
    /** Checkpoints a running gang and stops it by the deadline. A gang that can't be checkpointed is stopped immediately. */
    void preempt(JobEntry&, Time deadline, const std::string& reason);
    /** Stops every task immediately. */
    void stop(JobEntry&, AfterStop, FailureCause, const std::string& reason);
    /** Moves a job without live tasks to a final state. */
    void finish(JobEntry&, JobState, const std::string& reason);
    /** Charges the tasks to guaranteed cells, by task index. With an empty list the gang becomes a borrower. */
    void chargeToCells(JobEntry&, const std::vector<int>& cells);

    void workerLost(int worker);
    void workerReported(const WorkerReported&);
    void taskReported(const TaskReported&);
    void taskRefused(const TaskRefused&);
    /** Starts prepared gangs that are waiting for a start permit. */
    void permitExtended();
    /** Handles expired timers. */
    void tick();

private:
    void adopt(JobEntry&, const JobSubmitted&);
    void adoptOrphans(JobEntry&);
    void orphanReported(const TaskReported&, int worker);
    void orphanEnded(const TaskKey&);
    void stopDueOrphans();
    void expireEndedJobs();

    void setTaskState(JobEntry&, int index, GangTaskState);
    void updateFromReport(JobEntry&, int index, const TaskReported&);
    void advance(JobEntry&);
    void advanceAdopting(JobEntry&);
    void startOrWait(JobEntry&);
    void start(JobEntry&);
    void markRunning(JobEntry&);
    void handleGangEnd(JobEntry&);
    void requeue(JobEntry&);
    void handleJobTimer(JobEntry&);
    void resend(JobEntry&);
    void stopLiveTasks(JobEntry&);
    void setPhase(JobEntry&, JobPhase);
    void updateTimer(JobEntry&);
    void setIsBorrower(JobEntry&, bool isBorrower);
    /** Enforces the declared memory; returns false if the gang was stopped for exceeding it. */
    bool isWithinMemory(JobEntry&, const TaskReported&);
    void allocate(const JobEntry&, int index);
    void record(JobEntry&, JobState, const std::string& reason);
    void sendPrepare(const JobEntry&, int index);
    void sendStop(const TaskKey&, int worker);

    SchedulerState& state_;
    Time now_;
};

}
