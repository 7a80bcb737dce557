#pragma once

#include "pool/poolscheduler.h"

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/** One kind of job in the load of a deployment. */
struct DayJobKind {
    std::string name_;
    double jobsPerSecond_ = 0;
    double worth_ = 0;
    double lateWorth_ = 0;
    int priority_ = 0;
    int maxAttempts_ = 2;
    double stretch_ = 1;
    Duration latencyTarget_ {};
    double meanTasks_ = 1;
    int maxTasks_ = 1;
    Resources resources_;
    /** One of them is drawn for each job. */
    std::vector<std::int64_t> accelerators_;
    double meanSeconds_ = 1;
    double spread_ = 0.3;
    /** Relative error of the declared run time. */
    double estimateError_ = 0.2;
    bool isGang_ = false;
    double oneRackShare_ = 0;
    double savingShare_ = 0;
    double cancelledShare_ = 0;
    /** Share of the jobs whose tasks always fail. */
    double hopelessShare_ = 0;
};

/** Workers, organisations and load of a deployment. */
struct DayDeployment {
    std::string name_;
    int workers_ = 0;
    int workersPerRack_ = 8;
    int dataCentres_ = 3;
    Resources capacity_;
    int organisations_ = 4;
    /** Share of the pool's accelerators that is guaranteed in all. */
    double guaranteedShare_ = 0.62;
    /** Duration factors of the workers, in turn. */
    std::vector<double> slowness_ { 1.0, 1.0, 1.3 };
    std::vector<DayJobKind> kinds_;
    Duration stop_ = std::chrono::milliseconds(120);
    Duration restore_ = std::chrono::milliseconds(100);
    /** Within this time after its acceptance a guaranteed job must have begun. */
    Duration guaranteeLimit_ = std::chrono::milliseconds(2700);
    /** What the scheduler is told about stops. */
    std::optional<StopCosts> stopCosts_;
};

enum class DayTroubleKind {
    /** `strength_` times the load of one kind of job, or of all if `jobKind_` is negative. */
    Burst,
    /** A share of the jobs that arrive are cancelled soon after. */
    CancelWave,
    /** A share of the workers fails all runs. */
    FailingWorkers,
    /** A share of the workers runs `strength_` times slower. */
    SlowWorkers,
    /** All workers of a data centre lose their runs and are away. */
    DataCentreOut,
};

struct DayTrouble {
    DayTroubleKind kind_ = DayTroubleKind::Burst;
    Duration startsAfter_ {};
    Duration lasts_ {};
    double share_ = 0;
    double strength_ = 1;
    int jobKind_ = -1;
    int dataCentre_ = 0;
};

/** What callers got of one kind of job, and what it cost. */
struct DayKindResult {
    int jobs_ = 0;
    int inTime_ = 0;
    int late_ = 0;
    int failed_ = 0;
    double earned_ = 0;
    double owed_ = 0;
    double slowestStartSeconds_ = 0;
};

/** What the caller of one job got. */
enum class DayOutcome {
    InTime,
    Late,
    /** It ended after its credit, or not at all. */
    Expired,
};

struct DayJobResult {
    int kind_ = 0;
    /** Work of all tasks, in core-seconds. */
    double work_ = 0;
    DayOutcome outcome_ = DayOutcome::Expired;
    /** Time until the end as a multiple of the target. */
    double targetRatio_ = 0;
};

/** How many jobs had each outcome. */
struct DayCounts {
    int jobs_ = 0;
    int inTime_ = 0;
    int late_ = 0;
    int expired_ = 0;

    double inTimeShare() const { return jobs_ > 0 ? static_cast<double>(inTime_) / jobs_ : 1; }
    double servedShare() const { return jobs_ > 0 ? static_cast<double>(inTime_ + late_) / jobs_ : 1; }
    DayCounts& operator+=(const DayCounts&);
};

struct DayResult {
    std::vector<DayKindResult> kinds_;
    /** Jobs that their callers didn't cancel and that weren't hopeless. */
    std::vector<DayJobResult> jobs_;
    /** Work thrown away, in core-seconds, by the cause of the stop. */
    std::map<std::string, double> lostByCause_;
    /** Work that completed, in core-seconds. */
    double completedWork_ = 0;
    int starts_ = 0;
    int stops_ = 0;
    /** Runs that failed on workers that fail all runs. */
    int runsOnFailingWorkers_ = 0;
    /** Guaranteed jobs that began later than the bound. */
    int lateGuarantees_ = 0;
    /** Mean share of the accelerators in use while jobs arrive. */
    double meanUsage_ = 0;

    double share() const;
    double lostWork() const;
    /** Outcomes of the jobs of a kind; only of those with the most work if `largestShare` is less than 1. */
    DayCounts countsOf(int kind, double largestShare = 1) const;
};

/**
 * A day of jobs and troubles in virtual time under the real PoolScheduler. Driven by
 * events, so that days of hundreds of workers take seconds. The same seed gives the same day.
 */
class PoolDay {
public:
    PoolDay(DayDeployment, std::vector<DayTrouble>, unsigned seed);

    /** See PoolScheduler::setOverloadOrder. */
    void setOverloadOrder(bool isEnabled) { scheduler_.setOverloadOrder(isEnabled); }

    DayResult run(Duration arrivals, Duration rest);

private:
    struct JobModel {
        int kind_ = 0;
        PoolJobSpec spec_;
        std::string organisation_;
        Time submittedAt_ {};
        double workSeconds_ = 0;
        bool isHopeless_ = false;
        bool isGuaranteed_ = false;
        bool isCancelled_ = false;
        std::optional<Time> startedAt_;
    };
    struct WorkerModel {
        WorkerInfo info_;
        double slowness_ = 1;
        double troubleFactor_ = 1;
        bool isFailing_ = false;
        std::int64_t nextEnd_ = 1;
        std::vector<ReportedEnd> ended_;
    };
    /** Progress of one run; those of a gang advance together. */
    struct RunModel {
        std::string worker_;
        Time since_ {};
        double doneSeconds_ = 0;
        double workSeconds_ = 0;
        double rate_ = 1;
        int generation_ = 0;
        /** It is saving its progress in order to stop. */
        bool isSaving_ = false;
    };
    using Event = std::function<void()>;
    struct Scheduled {
        Time at_;
        std::uint64_t order_;
        Event event_;
        bool operator<(const Scheduled& other) const { return std::tie(other.at_, other.order_) < std::tie(at_, order_); }
    };

    void at(Time, Event);
    void scheduleArrival(std::size_t kind, Time until);
    void arrive(std::size_t kind);
    void begin(const DayTrouble&);
    void end(const DayTrouble&);
    std::vector<std::string> drawWorkers(double share);
    void requestPass();
    void pass();
    void start(const StartDecision&);
    void stop(const StopDecision&);
    void advance(RunModel&) const;
    const StepSpec& stepOf(const RunId&) const;
    /** Updates the speed and the end of the unit's run once all its members are present. */
    void updateUnit(const RunId&);
    void updateWorker(const std::string&);
    void loseWorker(const std::string&);
    void endRun(const RunId&, EndReason, const std::string& cause);
    void report(const std::string& worker, bool isPeriodic);
    double valueOf(const JobModel&) const;
    double workOf(const JobModel&) const;
    void addOwed(const JobModel&, DayKindResult&) const;
    void observeJobs();
    DayResult result() const;

    DayDeployment deployment_;
    std::vector<DayTrouble> troubles_;
    std::mt19937 random_;
    PoolScheduler scheduler_;
    std::map<std::string, std::int64_t> guarantees_;
    Time now_ { std::chrono::seconds(1000) };
    std::priority_queue<Scheduled> events_;
    std::uint64_t nextOrder_ = 0;
    std::map<std::string, WorkerModel> workers_;
    std::map<std::string, JobModel> jobs_;
    std::map<RunId, RunModel> runs_;
    /** Active runs by unit. */
    std::map<std::string, std::set<RunId>> unitRuns_;
    /** Seconds of saved work by unit. */
    std::map<std::string, double> checkpoints_;
    std::vector<double> burstFactors_;
    double cancelShare_ = 0;
    bool isPassPending_ = false;
    int nextJob_ = 1;
    DayResult result_;
    double usageSum_ = 0;
    int usageSamples_ = 0;
    std::set<std::string> openJobs_;
};

/** Loads like those of the users' larger deployments. */
DayDeployment smallDeployment();
DayDeployment grownDeployment();
DayDeployment largeDeployment();

/** A day with bursts, cancellations and bad workers; further seeds draw other times and sizes. */
std::vector<DayTrouble> heavyDay(unsigned seed);

}
