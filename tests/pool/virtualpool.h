#pragma once

#include "pool/poolscheduler.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/**
 * Simulates workers in virtual time under the real PoolScheduler: runs progress, end,
 * are stopped and reported. Checks the scheduling invariants after every tick.
 */
class VirtualPool {
public:
    struct WorkerModel {
        WorkerInfo info_;
        double speed_ = 1;
        bool failsRuns_ = false;
        bool isDisconnected_ = false;
        bool isDown_ = false;
        std::int64_t nextEndSequence_ = 1;
        int failedRuns_ = 0;
        std::vector<ReportedEnd> ended_;
        Time lastReport_ {};
    };

    VirtualPool();

    void addWorkers(int count, int perRack, const Resources&, const std::string& dataCentre = "dc");
    /** Submits a job of one step; returns its id. */
    std::string submit(const StepSpec&, int priority, const std::string& organisation = "org");
    std::string submit(const PoolJobSpec&, JobPolicy);
    /** Makes the job's tasks take `factor` times their estimate. */
    void setDurationFactor(const std::string& job, double factor) { durationFactors_[job] = factor; }
    /** Makes all runs of the job fail. */
    void setHopeless(const std::string& job) { hopelessJobs_.insert(job); }
    /** Makes a task crash each worker that starts it, so long after the start. */
    void setDeadly(const std::string& job, int task, Duration timeToCrash = std::chrono::milliseconds(10));
    /** Crashes workers; each is replaced by one with another id on its machine. */
    void crash(const std::vector<int>& workers, Duration downtime = std::chrono::seconds(3));
    /** Sets the limits and weights of organisations. Starts beyond a limit are violations. */
    void setOrganisations(std::map<std::string, OrganisationPolicy>);
    /** Replaces the scheduler by one that restores the jobs from their records. */
    void takeOver();
    void advance(Duration);

    PoolJobState state(const std::string& job) const;
    /** Time from submission to the end; nothing while the job is open. */
    std::optional<Duration> duration(const std::string& job) const;
    /** Time from submission to the job's first start; nothing before it. */
    std::optional<Duration> timeToStart(const std::string& job) const;
    /** Work of runs that ended early without a checkpoint, in core-seconds; an accelerator counts as 8 cores. */
    double wastedCoreSeconds() const { return wastedCoreSeconds_; }
    int stopCount() const { return stopCount_; }
    /** Workers that crashed, for whatever cause. */
    int crashCount() const { return crashCount_; }
    int startsOf(const TaskId&) const;
    /** Runs of jobs without deadly tasks that ended with their workers. */
    int innocentRunsLost() const { return innocentRunsLost_; }
    Time now() const { return now_; }
    WorkerModel& worker(int index) { return workers_.at(names_.at(static_cast<std::size_t>(index))); }
    std::size_t workerCount() const { return names_.size(); }
    std::set<std::string> workersOf(const std::string& job) const;
    std::int64_t usedAccelerators() const;
    PoolScheduler& scheduler() { return scheduler_; }
    void drain(int index, Duration leavesIn);

    /** Invariant violations: exceeded capacity, partly running gangs, two runs of a task at once, too many starts of a deadly task. */
    const std::vector<std::string>& violations() const { return violations_; }

private:
    /** A crash, or the start of the worker that replaces one. */
    struct PendingCrash {
        std::string worker_;
        /** The run that causes the crash; nothing for the start of a worker. */
        std::optional<RunId> run_;
    };

    struct Run {
        std::string worker_;
        Time startedAt_ {};
        double doneSeconds_ = 0;
        std::optional<Time> stopAt_;
        int saved_ = 0;
    };

    void runTick();
    void advanceRuns(Duration);
    void endRun(const RunId&, EndReason);
    void breakGang(const RunId&);
    void crashWorker(const std::string& name, Duration downtime);
    void startWorker(const std::string& former);
    void runCrashes();
    bool canReach(const std::string& worker) const;
    void applyDecisions();
    void report(WorkerModel&);
    const StepSpec& stepOf(const RunId&) const;
    double workSeconds(const RunId&) const;
    void checkInvariants();
    /** Whether the runs at work of the started run's organisation are within its limit. */
    void checkLimit(const RunId& started);
    /** Compares the resources that the scheduler counts by organisation with its runs. */
    void checkUsage();
    const std::string& organisationOf(const RunId& run) const { return scheduler_.state().jobs_.at(run.task_.job_).policy_.organisation_; }

    PoolScheduler scheduler_;
    std::map<std::string, OrganisationPolicy> policies_;
    Time now_ { std::chrono::seconds(1000) };
    std::map<std::string, WorkerModel> workers_;
    std::vector<std::string> names_;
    std::map<RunId, Run> runs_;
    std::map<std::string, PoolJobSpec> specs_;
    std::map<std::string, double> durationFactors_;
    std::set<std::string> hopelessJobs_;
    std::map<TaskId, Duration> deadlyTasks_;
    std::set<std::string> deadlyJobs_;
    std::multimap<Time, PendingCrash> pendingCrashes_;
    std::map<TaskId, int> starts_;
    std::map<TaskId, int> crashes_;
    std::map<TaskId, int> startsAfterProof_;
    int crashCount_ = 0;
    int innocentRunsLost_ = 0;
    std::map<std::string, Time> submittedAt_;
    std::map<std::string, Time> startedAt_;
    std::map<std::string, Time> endedAt_;
    std::map<std::string, double> checkpoints_;
    std::vector<std::string> violations_;
    double wastedCoreSeconds_ = 0;
    int stopCount_ = 0;
    int nextJob_ = 1;
};

/** A gang that prefers one rack; a single task if `tasks` is 1. */
StepSpec gangOf(int tasks, std::int64_t accelerators, Duration estimate);
/** Independent tasks with one accelerator each. */
StepSpec tasksOf(int tasks, Duration estimate);

}
