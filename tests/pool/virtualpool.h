#pragma once

#include "pool/poolscheduler.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/**
 * Workers in virtual time under a real scheduler: runs make progress, end, are
 * stopped and reported. Checks at each step what must always hold.
 */
class VirtualPool {
public:
    struct WorkerModel {
        WorkerInfo info_;
        double speed_ = 1;
        bool fails_ = false;
        bool isCut_ = false;
        std::int64_t nextEnd_ = 1;
        std::vector<ReportedEnd> ended_;
        Time lastReport_ {};
    };

    VirtualPool();

    void addWorkers(int count, int perRack, const Resources&, const std::string& dataCentre = "dc");
    /** Submits a job of one step; returns its id. */
    std::string submit(const StepSpec&, int priority, const std::string& organisation = "org");
    std::string submit(const PoolJobSpec&, JobPolicy);
    /** Tasks of the job take this many times their estimate. */
    void setLengthFactor(const std::string& job, double factor) { lengthFactors_[job] = factor; }
    void advance(Duration);

    PoolJobState state(const std::string& job) const;
    /** From submission to the end; nothing while it is open. */
    std::optional<Duration> duration(const std::string& job) const;
    /** From submission until all tasks of the first run were at work. */
    std::optional<Duration> timeToStart(const std::string& job) const;
    /** Core-seconds, an accelerator counting 8, of runs that were stopped or broken without saving. */
    double wastedWork() const { return waste_; }
    int stops() const { return stops_; }
    Time now() const { return now_; }
    WorkerModel& worker(int index) { return workers_.at(names_.at(static_cast<std::size_t>(index))); }
    std::size_t workerCount() const { return names_.size(); }
    std::set<std::string> workersOf(const std::string& job) const;
    std::int64_t usedAccelerators() const;
    PoolScheduler& scheduler() { return scheduler_; }
    void drain(int index, Duration leavesIn);

    /** What was broken: capacity, gangs, two runs at once. Empty if nothing. */
    const std::vector<std::string>& violations() const { return violations_; }

private:
    struct Run {
        std::string worker_;
        Time startedAt_ {};
        double done_ = 0;
        std::optional<Time> stopAt_;
        int saved_ = 0;
    };

    void step();
    void progress(Duration);
    void end(const RunId&, EndReason);
    void carryOut();
    void report(WorkerModel&);
    const StepSpec& stepOf(const RunId&) const;
    double workSeconds(const RunId&) const;
    void check();

    PoolScheduler scheduler_;
    Time now_ { std::chrono::seconds(1000) };
    std::map<std::string, WorkerModel> workers_;
    std::vector<std::string> names_;
    std::map<RunId, Run> runs_;
    std::map<std::string, PoolJobSpec> specs_;
    std::map<std::string, double> lengthFactors_;
    std::map<std::string, Time> submittedAt_;
    std::map<std::string, Time> startedAt_;
    std::map<std::string, Time> endedAt_;
    std::map<std::string, double> checkpoints_;
    std::vector<std::string> violations_;
    double waste_ = 0;
    int stops_ = 0;
    int nextJob_ = 1;
};

/** A gang that wants one rack. */
StepSpec gangOf(int tasks, std::int64_t accelerators, Duration estimate);
/** Single tasks with one accelerator each. */
StepSpec tasksOf(int tasks, Duration estimate);

}
