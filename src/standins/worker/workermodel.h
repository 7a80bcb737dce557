#pragma once

#include "scheduler/worker.h"
#include "standins/common/eventlog.h"
#include "standins/common/faultset.h"
#include "standins/worker/workertask.h"

#include <map>
#include <set>
#include <string>

namespace fescuecleat::standins {

/** What distinguishes one worker. */
struct WorkerIdentity {
    std::string id_;
    std::string rack_;
    std::string dataCentre_;
    WorkerCapacity capacity_;
    /** What the worker's own clock is ahead of the machine's. */
    Duration clockOffset_ { 0 };
};

/** How long things take on a worker. */
struct WorkerTimes {
    /** Writing a checkpoint. */
    Duration checkpoint_ = std::chrono::milliseconds(200);
    /** Lag of the reported usage. */
    Duration usageLag_ = std::chrono::seconds(1);
};

/** Newest checkpoints by job and task index, shared by the workers of a process as a data centre's disks are. */
using Checkpoints = std::map<std::pair<std::string, int>, double>;

/** Why a worker refuses a call; empty kind: it doesn't. */
struct WorkerRefusal {
    std::string kind_;
    std::string message_;

    explicit operator bool() const { return !kind_.empty(); }
};

/** One worker: holds, starts and ends tasks under a run permit that lapses by its own clock. */
class WorkerModel {
public:
    WorkerModel(WorkerIdentity, WorkerTimes, EventLog&, FaultSet&, Checkpoints&);

    const WorkerIdentity& identity() const { return identity_; }
    std::uint64_t epoch() const { return epoch_; }

    /** Ends what is due: finished work, written checkpoints, a lapsed permit. */
    void advance(Time now);

    /** False for an epoch lower than one seen before. */
    bool admitEpoch(std::uint64_t epoch);

    /** Extends the run permit to a value of the worker's own clock; never shortens it. */
    void renew(std::int64_t until);
    void forget(const TaskKey&);
    WorkerRefusal prepare(const PrepareRequest&, Time now);
    /** `startBefore` is a value of the worker's own clock, in microseconds. */
    WorkerRefusal start(const TaskKey&, std::int64_t startBefore, Time now);
    /** `deadline` is a value of the worker's own clock, in microseconds. */
    WorkerRefusal checkpoint(const TaskKey&, std::int64_t deadline, Time now);
    void stop(const TaskKey&, Time now);
    WorkerRefusal throttle(const TaskKey&);

    JsonValue report(Time now) const;

private:
    WorkerTask* find(const TaskKey&);
    bool isFree(const PrepareRequest&) const;
    void advanceTask(WorkerTask&, Time now);
    void end(WorkerTask&, TaskState, const std::string& reason, Time now);
    double doneShare(const WorkerTask&, Time now) const;
    void note(Time now, const std::string& event, const TaskKey&, const std::string& reason);
    Time machineTime(std::int64_t clock) const { return Time(Duration(clock) - identity_.clockOffset_); }
    std::int64_t clock(Time now) const { return (now.time_since_epoch() + identity_.clockOffset_).count(); }

    WorkerIdentity identity_;
    WorkerTimes times_;
    EventLog& log_;
    FaultSet& faults_;
    Checkpoints& checkpoints_;
    std::uint64_t epoch_ = 0;
    Time permitUntil_ { Duration::zero() };
    std::map<TaskKey, WorkerTask> tasks_;
    /** Tasks that were stopped or forgotten; they never start again. */
    std::set<TaskKey> barred_;
};

}
