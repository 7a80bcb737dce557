#pragma once

#include "scheduler/schedulerevent.h"
#include "scheduler/schedulerstate.h"
#include "scheduler/taskplace.h"

#include <string>

namespace fescuecleat {

/**
 * Takes gangs through their life: prepared as a whole, started as a whole,
 * stopped as a whole. A gang whose tasks have not all certainly ended keeps its
 * devices and is not placed again.
 */
class GangMachine {
public:
    GangMachine(SchedulerState& state, Time now)
        : state_(state)
        , now_(now)
    {
    }

    void submit(const JobSubmitted&);
    void cancel(const JobId&);
    void forget(const JobId&);
    /** Records the placement of a queued job and sends the prepares. */
    void place(JobEntry&, const Placement&);
    /** Checkpoints a running gang and stops it by the deadline; others are stopped at once. */
    void preempt(JobEntry&, Time deadline, const std::string& reason);
    /** Stops every task now. */
    void stop(JobEntry&, AfterStop, Blame, const std::string& reason);
    /** Ends a job that has no live task. */
    void finish(JobEntry&, JobState, const std::string& reason);
    /** Charges the tasks to homes, or to none: then the gang borrows. */
    void moveToHomes(JobEntry&, const std::vector<int>& homes);

    void workerLost(int worker);
    void workerReported(const WorkerReported&);
    void taskReported(const TaskReported&);
    void taskRefused(const TaskRefused&);
    /** Starts prepared gangs that waited for a permit. */
    void permitExtended();
    /** Looks at what became due. */
    void tick();

private:
    void adopt(JobEntry&, const JobSubmitted&);
    void adoptStrays(JobEntry&);
    void strayReported(const TaskReported&, int worker);
    void strayEnded(const TaskKey&);
    void stopDueStrays();
    void forgetEndedJobs();

    void setTaskState(JobEntry&, int index, GangTaskState);
    void updateFromReport(JobEntry&, int index, const TaskReported&);
    void evaluate(JobEntry&);
    void evaluateAdopting(JobEntry&);
    void startOrWait(JobEntry&);
    void start(JobEntry&);
    void becomeRunning(JobEntry&);
    void settle(JobEntry&);
    void requeue(JobEntry&);
    void jobDue(JobEntry&);
    void resend(JobEntry&);
    void stopUnended(JobEntry&);
    void setPhase(JobEntry&, JobPhase);
    void setWake(JobEntry&);
    void setBorrower(JobEntry&, bool isBorrower);
    /** Holds tasks to their declared memory; false if the gang was stopped for it. */
    bool isWithinMemory(JobEntry&, const TaskReported&);
    void hold(const JobEntry&, int index);
    void record(JobEntry&, JobState, const std::string& reason);
    void sendPrepare(const JobEntry&, int index);
    void sendStop(const TaskKey&, int worker);

    SchedulerState& state_;
    Time now_;
};

}
