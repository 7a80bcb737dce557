#pragma once

#include "node/poolworkerclient.h"
#include "poolmodel/organisationlimitcheck.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/** How requests to the workers and their answers fare. */
struct DeliveryFaults {
    /** Share of requests that are never executed. */
    double lostRequests_ = 0;
    /** Share of requests that are executed without an answer. */
    double lostAnswers_ = 0;
    /** Share of requests that are executed seconds later, without an answer. */
    double lateRequests_ = 0;
    /** Share of starts that unhealthy workers refuse; such a request has done nothing. */
    double refusedStarts_ = 0;
    Duration maxDelay_ = std::chrono::milliseconds(3);
};

/** What an incarnation of a worker is registered with. */
struct WorkerKind {
    std::string service_ = "service";
    std::string label_ = "a";
    Resources capacity_;
};

/** A step of a job, and how long a run of its tasks takes. */
struct ModelStep {
    StepSpec spec_;
    Duration runTime_ {};
    /** Index of a task that crashes each worker that starts it; -1 for none. */
    int deadlyTask_ = -1;
};

/** What the workers did for a job. */
struct JobProgress {
    /** Tasks of which a run ended as done; each counts once. */
    int doneTasks_ = 0;
    bool isEverStarted_ = false;
    /** Most crashes of workers, for whatever cause, under one of its tasks. */
    int maxCrashes_ = 0;
    bool isDeadly_ = false;
};

/**
 * Workers in virtual time that keep the contract of real ones: leases by a clock that may
 * be slow, fencing, barred runs, gangs, and incarnations that share an id and know nothing
 * of each other. Requests and answers are delayed, reordered, lost or executed late.
 * Checks what must hold whatever arrives: one run of a task at a time, none after its
 * recorded end, no more than fits on a worker, no start on a worker that the job's
 * queue, the step's label or its limit of tasks per worker excludes, none of a task that
 * nobody declared, no more than the limit of the job's organisation, and no further tries
 * of a task that has crashed worker after worker.
 */
class ModelWorkers {
public:
    ModelWorkers(std::uint32_t seed, Duration maxLease);

    void addWorker(const std::string& id, const WorkerKind&);
    /** Declares the step that all tasks of a job belong to, and how long a run takes. */
    void addJob(const std::string& id, const std::string& queue, const ModelStep&);
    /** Declares a job by its steps in the order of their indexes. */
    void addJob(const std::string& id, const std::string& queue, std::vector<ModelStep> steps);
    /** Declares that a version of the configuration sends the queue to the service. */
    void addRoute(const std::string& queue, const std::string& service) { routes_[queue].insert(service); }
    std::unique_ptr<PoolWorkerClient> makeClient(int instance, const std::shared_ptr<boost::asio::io_context>& loop);

    /** Executes what is due; call it after each step of the clock. */
    void runDue();
    /** Runs a callback at a time, in order with the workers' own events. */
    void schedule(Time, std::function<void()>);
    /** Ends the incarnation; the next one starts under the same id after `downtime` and may be of another kind. */
    void crash(const std::string& id, Duration downtime, const WorkerKind& next);
    /** Shrinks or enlarges a worker while it runs. Starts that only its former capacity holds are allowed for a while. */
    void setCapacity(const std::string& id, const Resources&);
    /** Cuts the way of requests or answers between an instance and a worker until `until`. */
    void cut(int instance, const std::string& id, bool cutsRequests, bool cutsAnswers, Time until);
    void setFaults(const DeliveryFaults& faults) { faults_ = faults; }
    std::int64_t born(const std::string& id) const { return workers_.at(id).born_; }
    const WorkerKind& kind(const std::string& id) const { return workers_.at(id).kind_; }
    bool isUp(const std::string& id) const { return workers_.at(id).isUp_; }

    /** The organisations of jobs and their limits; without any, none is checked. */
    OrganisationLimitCheck& limits() { return limits_; }
    const std::vector<std::string>& violations() const { return violations_; }
    int startCount() const { return startCount_; }
    int runningCount() const;
    JobProgress progress(const std::string& job) const;
    Time lastCrashAt() const { return lastCrashAt_; }

private:
    class Client;

    struct Run {
        int number_ = 0;
        Time startedAt_ {};
        std::optional<Time> endsAt_;
        std::optional<Time> stopsAt_;
    };
    struct LongPoll {
        Time until_ {};
        std::function<void(tl::expected<PoolWorkerReport, WorkerFailure>)> respond_;
    };
    struct FormerCapacity {
        Resources capacity_;
        /** Starts that were sent by then may still use it. */
        Time countsUntil_ {};
    };
    struct Worker {
        std::string id_;
        WorkerKind kind_;
        std::vector<FormerCapacity> formerCapacities_;
        double clockRate_ = 1;
        bool isUp_ = true;
        std::int64_t born_ = 1;
        Time startedAt_ {};
        std::int64_t epoch_ = 0;
        std::int64_t leaseUntilMs_ = 0;
        std::map<TaskId, Run> runs_;
        /** Highest run number of each task that may no longer start. */
        std::map<TaskId, int> barredRuns_;
        std::vector<ReportedEnd> ends_;
        std::int64_t nextEnd_ = 1;
        std::int64_t acknowledgedEnds_ = 0;
        /** Ends up to this one lost their lease before they were acknowledged. */
        std::int64_t expiredEnds_ = 0;
        std::vector<LongPoll> longPolls_;
    };
    struct JobModel {
        std::string queue_;
        std::vector<ModelStep> steps_;
        JobProgress progress_;
    };
    struct Cut {
        Time requestsUntil_ {};
        Time answersUntil_ {};
    };

    template <typename Answer>
    void call(int instance, const std::weak_ptr<boost::asio::io_context>& loop, const std::string& id, Duration timeout,
        std::function<void(Worker&, std::function<void(tl::expected<Answer, WorkerFailure>)>)> execute,
        std::function<void(tl::expected<Answer, WorkerFailure>)> handler);

    void executePoll(Worker&, const PollRequest&, std::function<void(tl::expected<PoolWorkerReport, WorkerFailure>)> respond);
    /** `sentTo` is the incarnation that the sender knew when it sent the request. */
    tl::expected<StartAnswer, WorkerFailure> executeStart(Worker&, const StartRequest&, std::int64_t sentTo, Time sentAt);
    tl::expected<void, WorkerFailure> executeStop(Worker&, const StopRequest&);
    static bool acceptEpoch(Worker&, std::int64_t epoch);
    void extendLease(Worker&, std::int64_t untilMs) const;
    std::int64_t clockMs(const Worker&) const;
    PoolWorkerReport reportOf(const Worker&) const;
    void answerLongPolls(Worker&, bool onlyDue);
    void advanceWorker(Worker&);
    void endRun(Worker&, const TaskId&, EndReason);
    void breakGang(const RunId&, EndReason);
    void startGangIfComplete(const RunId&);
    void checkStart(const Worker&, const RunId&, Time sentAt);
    void checkKind(const Worker&, const RunId&);
    void checkStepLimit(const Worker&, const RunId&);
    void checkOrganisationLimit(const Worker&, const RunId&, Time sentAt);
    void checkCrashBudget(const Worker&, const RunId&);
    /** Crashes the worker some time later, unless the run has ended by then. */
    void scheduleCrash(const Worker&, const RunId&);
    bool isDeadly(const TaskId& task) const { return stepOf(task).deadlyTask_ == task.index_; }
    void noteEnds(Worker&, std::int64_t upTo);
    void report(const std::string& rule, const Worker&, const RunId&, const std::string& detail);
    bool isKnown(const TaskId&) const;
    JobModel& jobOf(const TaskId& task) { return jobs_.at(task.job_); }
    const ModelStep& stepOf(const TaskId& task) const { return jobs_.at(task.job_).steps_.at(static_cast<std::size_t>(task.step_)); }
    bool draws(double probability);
    Duration drawDuration(Duration from, Duration to);

    std::mt19937 random_;
    Duration maxLease_;
    DeliveryFaults faults_;
    std::map<std::string, Worker> workers_;
    std::map<std::string, JobModel> jobs_;
    /** Services that any version of the configuration has sent a queue to. */
    std::map<std::string, std::set<std::string>> routes_;
    std::map<std::pair<int, std::string>, Cut> cuts_;
    std::multimap<Time, std::function<void()>> events_;
    std::map<TaskId, Time> lastStarts_;
    /** When a run of the task ended as done. */
    std::map<TaskId, Time> doneAt_;
    std::set<TaskId> recordedDone_;
    /** Workers that crashed under a run of the task. */
    std::map<TaskId, int> crashes_;
    /** Starts of a deadly task after the crashes that prove it. */
    std::map<TaskId, int> startsAfterProof_;
    OrganisationLimitCheck limits_;
    std::vector<std::string> violations_;
    int startCount_ = 0;
    Time lastCrashAt_ {};
};

}
