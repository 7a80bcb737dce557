#pragma once

#include "pool/pooljobrecord.h"
#include "pool/poolstate.h"
#include "pool/poolworkerreport.h"
#include "pool/startrevocation.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/** Response of a worker to a start request. */
enum class StartAnswer {
    Accepted,
    /** The run has already ended on the worker, or was stopped before it could start. */
    StaleRun,
    /** This request started nothing: the worker lacks capacity, is unhealthy, or its lease has expired. */
    Refused,
};

/**
 * Assigns the tasks of a pool's jobs to workers. Performs no I/O and reads no clock:
 * events and the current time are passed in, and the same input gives the same decisions.
 */
class PoolScheduler {
public:
    void setGuarantees(std::map<std::string, std::int64_t> accelerators) { state_.guarantees_ = std::move(accelerators); }
    /**
     * Sets the most runs at a time, which bounds the scheduler's memory. A quarter of them is
     * divided among the organisations, so that one organisation's many tasks leave room for those of others.
     */
    void setRunLimit(std::size_t runs) { state_.runLimit_ = runs; }
    /** Sets the limits and weights of organisations. Starts that are decided but not begun are checked again. */
    void setOrganisations(std::map<std::string, OrganisationPolicy> policies) { state_.usage_.setPolicies(std::move(policies)); }
    /** Postpones the jobs whose delay costs callers least while not all can be in time. */
    void setOverloadOrder(bool isEnabled) { state_.overload_.isEnabled_ = isEnabled; }
    /** Sets the window over which the rate of an organisation's submissions is counted. */
    void setSubmissionWindow(Duration window) { state_.submissions_.setWindow(window); }
    void setGuaranteeLimit(Duration limit) { state_.guaranteeLimit_ = limit; }
    /** Sets what stopping a task costs; without it, preemption uses fixed assumptions. */
    void setStopCosts(const std::optional<StopCosts>& costs) { state_.stopCosts_ = costs; }
    /** Sends tasks that still wait to the services of their queues by this version of the configuration. Returns the queues whose jobs moved. */
    std::set<std::string> setQueueServices(std::uint64_t version, std::map<std::string, std::string> services);
    void setClosedDataCentres(std::set<std::string> dataCentres) { state_.closedDataCentres_ = std::move(dataCentres); }

    /** Adds a new job, or restores one from its record after a failover. Does nothing if the job is known. */
    void addJob(const std::string& id, PoolJobSpec, JobPolicy, Time submittedAt, const PoolJobRecord*, Time now);
    void cancelJob(const std::string& id, Time now);
    /** Gives up an open job. */
    void failJob(const std::string& id, const std::string& cause, Time now);
    /** Removes an ended job; returns false if the job is unknown or open, any of its runs is still active, or a change of it is yet to be taken. */
    bool forgetJob(const std::string& id);

    void putWorker(const WorkerInfo&, Time now);
    /** Marks a worker as removed from the registry. Its runs hold their resources until they are known to have ended. */
    void delistWorker(const std::string& id);
    void setReachable(const WorkerKey&);
    /** The worker has stopped answering; it was certainly up until `upUntil`. */
    void setSilent(const WorkerKey&, Time upUntil, Time now);
    /** Ends all runs of a silent worker, whose leases have certainly expired. Unless it answers again, it may have crashed. */
    void workerLapsed(const WorkerKey&, Time now);
    /**
     * Ends all runs of this incarnation of a worker. Call it only when none of them can
     * still be active: its lease has certainly expired, or the worker has restarted.
     */
    void workerLost(const WorkerKey&, const std::string& cause, Time now);

    /** Replaces an incarnation of a worker by a newer one with the same id. */
    void workerRestarted(const WorkerKey& former, const WorkerKey& current, Time now);

    /** Applies a worker's report; `requestedAt` is when the report was requested. */
    void report(const WorkerKey&, const PoolWorkerReport&, Time requestedAt, Time now);
    /** Whether a request for the start may be sent, for the first time or again: its worker may have become another incarnation meanwhile. */
    bool isStartWanted(const RunId&) const;
    /**
     * Gives up a start whose permission has been revoked, and returns why. The run is stopped if a request for the start
     * was sent, since only a confirmed stop keeps its worker from executing that.
     */
    std::optional<StartRevocation> giveUpRevokedStart(const RunId&, Time now);
    /** Whether the start has neither been answered nor given up. */
    bool isStartPending(const RunId&) const;
    /** Returns whether a decided start is still wanted and allowed. If so, the worker is assumed to know the run from then on. */
    bool beginStart(const RunId&, Time now);
    /** A request for the start is about to be sent, for the first time or again. */
    void startSent(const RunId&, Time now);
    /** The worker may have executed the request, or may execute it later. */
    void startUnanswered(const RunId&);
    void startAnswered(const RunId&, StartAnswer, Time now);
    /** The worker has confirmed the stop; a run that it didn't know can no longer start there. */
    void stopConfirmed(const RunId&, Time now);

    /** Opens due occurrences and places waiting units. `unixMs` is the wall-clock time. */
    void schedule(Time now, std::int64_t unixMs);
    /** Latest time of the next schedule() call if no event comes first. */
    Time nextWake(Time now, std::int64_t unixMs) const;

    Decisions takeDecisions();
    PoolJobRecord record(const std::string& job) const;
    /**
     * The rows of a job's record by key, each of at most `maxRowBytes` if possible (JobRecordRows).
     * `nowMs`: time of the store's clock, kept in the record if the job has ended.
     */
    std::map<std::string, std::string> recordRows(const std::string& job, std::size_t maxRowBytes, std::int64_t nowMs = 0) const;
    const PoolState& state() const { return state_; }
    /** Number of accepted jobs per queue of which no task is known to have started on a worker. Recurring jobs don't count. */
    std::map<std::string, int> waitingJobs() const;

private:
    /** Takes the service of the job's queue if the configuration is newer than the one that the job has it from; returns whether it has changed. */
    bool followQueue(Job&) const;
    void openDueOccurrences(Job&, std::int64_t unixMs, Time now);
    void restore(Job&, const PoolJobRecord&, Time now);
    /** The entries of a record by their units. */
    static std::map<UnitId, UnitRecord> unitRecords(const Job&, const PoolJobRecord&);
    void restoreUnit(Job&, const UnitId&, const UnitRecord&, Time now);
    void applyReport(const WorkerKey&, const PoolWorkerReport&, Time requestedAt, Time now);
    void applyEnd(const RunId&, EndReason, const std::string& checkpoint, Time now);
    /** Whether the worker, with all that it may run, is one that the run may start on. */
    bool isSuitable(const PoolWorkerState&, const RunId&, const TaskRun&) const;
    /** Whether a worker reports a run of the task that there is no record of. */
    bool isActiveWithoutRecord(const TaskId&) const;
    /** Stops what a restarted worker may run by requests to its former incarnation, if it is of a kind that excludes it. */
    void stopUnsuitableRuns(const WorkerKey&, Time now);
    /** Whether all runs of the job's organisation together are within its limit, in the resources that a task of the run needs. */
    bool isWithinOrganisationLimit(const RunId&, const TaskRun&) const;
    /** Counts the runs without a record of a worker for the organisations of their jobs. */
    void countUnrecordedRuns(const PoolWorkerState&);
    /** What a run without a record occupies; all of the worker if its job is unknown. */
    Resources unrecordedAllocation(const RunId&, const PoolWorkerState&) const;
    /** Counts the end of an incarnation of a worker as a crash and returns `now`, or nothing if it had announced to leave. */
    Time noteCrash(const WorkerKey&, Time now);
    /** Ends the jobs of tasks that crash the workers that start them. */
    void giveUpTasks(const std::vector<TaskId>&, Time now);
    /** Forgets the crashes under a task whose run has outlived them. */
    void clearOfCrashes(Job&, const RunId&, const TaskRun&, Time now);
    void giveUp(const RunId&, const std::string& cause, Time now);
    void abortRun(Job&, UnitId, const std::string& cause, Time now);
    /** Counts the failure of the unit's run `number` once. */
    void recordFailure(Job&, WorkUnit&, int number, const TaskRun&, Time now);
    /** Blames the worker for a failed run unless the job seems to fail everywhere. */
    void noteFailedRun(Job&, const TaskRun&, Time now);
    /** Takes back the blame on workers for the failures of a job. */
    void retractFailures(const Job&);
    /** Notes that a run progresses or has succeeded. */
    void noteHealthyRun(Job&, const TaskRun&);
    void completeIfDone(Job&);
    void abortStalledStarts(Time now);
    void endJob(Job&, PoolJobState, const std::string& cause, Time now);

    PoolState state_;
    std::uint64_t configurationVersion_ = 0;
    std::map<std::string, std::string> queueServices_;
    Time nextReviewAt_ {};
    /** The last pass has looked at all waiting units. */
    bool isPassComplete_ = true;
    /** Jobs with scheduled occurrences. */
    std::set<std::string> timedJobs_;
    /** Ends of the backoffs after refused starts, in order. */
    std::deque<Time> retryTimes_;
    /** Starts that may be without an answer, oldest first. */
    std::deque<std::pair<Time, RunId>> unansweredStarts_;
};

}
