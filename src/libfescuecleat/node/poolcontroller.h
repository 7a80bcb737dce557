#pragma once

#include "net/timer.h"
#include "node/activitytimes.h"
#include "node/backlogpublisher.h"
#include "node/jobrecorder.h"
#include "node/jobretention.h"
#include "node/lifetime.h"
#include "node/nodecontext.h"
#include "node/poolconfiguration.h"
#include "node/poolschedulerlease.h"
#include "node/poolworkerlinks.h"
#include "node/preemptionlog.h"
#include "node/runlog.h"
#include "node/startgate.h"
#include "node/storelayout.h"
#include "node/tablefollower.h"
#include "pool/poolscheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/**
 * Runs the pool scheduler while this instance holds the lease: follows jobs and
 * workers, stores the scheduler's decisions, and then sends them to the workers.
 */
class PoolController {
public:
    struct Listener {
        std::function<bool()> isLeaseHeld_;
        std::function<void(const std::string& cause)> superseded_;
        /** Something suggests that another instance has taken the lease; only the store can tell. */
        std::function<void(const std::string& cause)> leaseDoubted_;
        /** The operator's rows are known as of this local time or later; unset if nothing follows them. */
        std::function<Time()> operatorRowsAsOf_ = {};
    };

    PoolController(const NodeContext&, const AcquiredLease&, Listener);
    ~PoolController();

    void start();
    /** The lease is held again after a suspension, in which nobody else held it. */
    void resume();
    void setConfiguration(const PoolConfiguration&);
    void setClosedDataCentres(const std::set<std::string>&);

    /** Handles an intake row that an instance has just stored; the feed delivers the same row again later. */
    void handleStoredIntake(const StoredRow&);

    /** The stored state of a job; nothing if this instance doesn't know the job, or only the store can tell. */
    std::optional<PoolJobState> stateOf(const std::string& job) const;
    /** The number of waiting jobs of a queue; nothing until the jobs are loaded, and while the lease is in doubt. */
    std::optional<int> waitingJobs(const std::string& queue) const;
    /** Whether the jobs are loaded. */
    bool isReady() const { return isReady_; }
    const PoolScheduler& scheduler() const { return scheduler_; }
    const PoolState& state() const { return scheduler_.state(); }
    std::size_t openJobs() const;
    /** Crashes of workers and tasks given up for them, since this instance took the lease. */
    std::uint64_t workerCrashes() const { return workerCrashes_; }
    std::uint64_t deadlyTasks() const { return deadlyTasks_; }
    const ActivityTimes& times() const { return times_; }
    ViewTimes viewTimes() const;
    const StartGate& startGate() const { return startGate_; }

    static constexpr const char* summaryTable = fescuecleat::summaryTable;
    static constexpr const char* summaryKey = "waiting";

private:
    void loadRecords(const std::string& from);
    void addRecordRow(const StoredRow&);
    void recordsLoaded();
    void intakeLoaded();
    /** Removes records of ended jobs whose intake rows a former lease holder has removed. */
    void removeOrphanedRecords();
    void removeRecord(const std::string& job);
    void handleJobRemoved(const std::string& job, const std::vector<StoredRow>& laterRows);
    /** When nobody may ask any more for the state of a job that ended then by the store's clock; 0 stands for now. */
    Time removableAt(std::int64_t endedMs) const;
    JobRecorder::Rows recordRows(const std::string& job);
    void handleUnstorableRecord(const std::string& job);
    void handleIntakeRow(const StoredRow&);
    void addJob(const std::string& id, const StoredRow&);
    /** Keeps only the state of a job that had ended before this instance took the lease; returns whether it had. */
    bool skipEndedJob(const std::string& id);
    void handleReport(const WorkerKey&, const PoolWorkerReport&, Time askedAt);
    void handleJobStored(const std::string& job, PoolJobState);

    void requestPass();
    void runPass();
    void runScheduler();
    /** Returns whether there were any. */
    bool executeDecisions();
    void sendStarts(const std::vector<StartDecision>&);
    /** Acknowledges a worker's ends up to `last` once the records of these jobs are stored. */
    void acknowledgeWhenStored(const WorkerKey&, std::int64_t last, const std::set<std::string>& jobs);
    /** Whether a request for the start may be sent now; gives up a start that is no longer permitted. */
    bool mayStart(const RunId&);
    /** Publishes the number of waiting jobs if that is due. */
    void writeSummary(Time now);
    void logNewEnds(const PoolWorkerReport&, const WorkerKey&);

    NodeContext context_;
    RunLog runLog_;
    PreemptionLog preemptionLog_;
    ActivityTimes times_;
    StartGate startGate_;
    std::int64_t epoch_;
    Listener listener_;
    PoolScheduler scheduler_;
    JobRecorder recorder_;
    JobRetention retention_;
    TableFollower intake_;
    PoolWorkerLinks links_;
    /** Repeats a failed read of the records. */
    Timer recordsTimer_;
    Timer passTimer_;
    Lifetime lifetime_;
    bool isPassPosted_ = false;
    bool isReady_ = false;

    std::map<std::string, PoolJobRecord> records_;
    std::set<std::string> cancelled_;
    /** Jobs that were given up because the store rejects their records; only their states are stored. */
    std::set<std::string> unstorableJobs_;
    std::map<std::string, std::shared_ptr<const std::string>> payloads_;
    std::map<std::string, PoolJobState> storedStates_;
    /** Newest reported end of each worker whose record is awaited. */
    std::map<WorkerKey, std::int64_t> awaitedEnds_;
    /** Starts whose record was stored while the lease was in doubt or a view too old. */
    std::vector<StartDecision> deferredStarts_;
    std::uint64_t workerCrashes_ = 0;
    std::uint64_t deadlyTasks_ = 0;
    Time summaryDueAt_ {};
    BacklogPublisher backlog_;
};

}
