#pragma once

#include "pool/pooljobrecord.h"
#include "pool/poolstate.h"
#include "pool/poolworkerreport.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuecleat {

/** A worker's answer to a start. */
enum class StartAnswer {
    Accepted,
    /** The worker has ended or barred this run. */
    RunIsOld,
    /** The worker has no room, is unhealthy, or its lease is over: nothing was started. */
    Refused,
};

/**
 * Decides which tasks of a pool of workers run where. Pure: events and the time
 * come in, decisions go out; the same input gives the same output.
 */
class PoolScheduler {
public:
    void setGuarantees(std::map<std::string, std::int64_t> accelerators) { state_.guarantees_ = std::move(accelerators); }
    void setClosedDataCentres(std::set<std::string> dataCentres) { state_.closedDataCentres_ = std::move(dataCentres); }

    /** A new job, or one taken over with its record. A known job is left as it is. */
    void addJob(const std::string& id, PoolJobSpec, JobPolicy, Time submittedAt, const PoolJobRecord*, Time now);
    void cancelJob(const std::string& id, Time now);
    /** Forgets a job that has ended and of which nothing runs. */
    bool forgetJob(const std::string& id);

    void putWorker(const WorkerInfo&, Time now);
    /** The registry no longer lists the worker. What runs there counts until it is known to be over. */
    void delistWorker(const std::string& id);
    void setReachable(const WorkerKey&, bool isReachable);
    /** Nothing of this life of the worker runs any more: its lease has certainly lapsed, or it began a new life. */
    void workerLost(const WorkerKey&, Time now);

    /** The worker began a new life under its id. */
    void workerReborn(const WorkerKey& former, const WorkerKey& current, Time now);

    /** Takes over what a worker says. `askedAt` is when it was asked. */
    void report(const WorkerKey&, const PoolWorkerReport&, Time askedAt, Time now);
    /** Whether a start that was decided is still wanted; from here on the worker may know the run. */
    bool beginStart(const RunId&, Time now);
    void startAnswered(const RunId&, StartAnswer, Time now);
    /** The worker has confirmed the stop: if the run was not there, it can't begin any more. */
    void stopConfirmed(const RunId&, Time now);

    /** Opens occurrences that are due and places what waits. */
    void schedule(Time now, std::int64_t unixMs);
    /** When schedule() has to be called again though nothing happens. */
    Time nextWake(Time now, std::int64_t unixMs) const;

    Decisions takeDecisions();
    PoolJobRecord record(const std::string& job) const;
    const PoolState& state() const { return state_; }
    /** Accepted jobs of a queue of which no task has started. */
    std::map<std::string, int> waitingJobs() const;

private:
    void openUnits(Job&, std::int64_t unixMs, Time now);
    void openOccurrence(Job&, int occurrence, Time now);
    void unblock(Job&, Time now);
    void restore(Job&, const PoolJobRecord&, Time now);
    void applyEnd(const RunId&, EndReason, const std::string& checkpoint, Time now);
    void breakRun(Job&, std::size_t unit, const std::string& cause, Time now);
    void countFailure(Job&, WorkUnit&, const TaskRun&, Time now);
    void completeIfDone(Job&);
    void breakStalledStarts(Time now);
    void endJob(Job&, PoolJobState, const std::string& cause, Time now);

    PoolState state_;
    Time reviewDue_ {};
};

}
