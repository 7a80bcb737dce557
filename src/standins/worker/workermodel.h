#pragma once

#include "scheduler/worker.h"
#include "standins/common/eventlog.h"
#include "standins/common/faultset.h"
#include "standins/worker/workertask.h"

#include <map>
#include <set>
#include <string>

namespace fescuecleat::standins {

/** Identity, capacity and clock of one worker. */
struct WorkerIdentity {
    std::string id_;
    std::string rack_;
    std::string dataCentre_;
    WorkerCapacity capacity_;
    /** How far the worker's own clock is ahead of the machine's. */
    Duration clockOffset_ { 0 };
};

/** Durations and delays of a worker. */
struct WorkerTiming {
    /** Time to write a checkpoint. */
    Duration checkpointDuration_ = std::chrono::milliseconds(200);
    /** Delay until the usage of a started task is reported. */
    Duration usageLag_ = std::chrono::seconds(1);
};

/** Checkpointed share of the work by job and task index. Shared by the workers of a process, like the disks of a data centre. */
using Checkpoints = std::map<std::pair<std::string, int>, double>;

/** Error of a refused call; an empty kind means that the call succeeded. */
struct WorkerRefusal {
    std::string kind_;
    std::string message_;

    explicit operator bool() const { return !kind_.empty(); }
};

/** One worker: prepares, runs and ends tasks under a run permit that expires by the worker's own clock. */
class WorkerModel {
public:
    WorkerModel(WorkerIdentity, WorkerTiming, EventLog&, FaultSet&, Checkpoints&);

    const WorkerIdentity& identity() const { return identity_; }
    std::uint64_t epoch() const { return epoch_; }

    /** Ends tasks that have finished, written their checkpoint, missed its deadline or lost their run permit. */
    void advance(Time now);

    /** Returns false for an epoch lower than the highest one accepted. */
    bool acceptEpoch(std::uint64_t epoch);

    /** Extends the run permit, never shortens it. `untilUs` is a time of the worker's own clock. */
    void renewPermit(std::int64_t untilUs);
    void forget(const TaskKey&);
    WorkerRefusal prepare(const PrepareRequest&, Time now);
    /** `startBeforeUs` is a time of the worker's own clock. */
    WorkerRefusal start(const TaskKey&, std::int64_t startBeforeUs, Time now);
    /** `deadlineUs` is a time of the worker's own clock. */
    WorkerRefusal checkpoint(const TaskKey&, std::int64_t deadlineUs, Time now);
    void stop(const TaskKey&, Time now);
    WorkerRefusal throttle(const TaskKey&);

    JsonValue report(Time now) const;

private:
    WorkerTask* find(const TaskKey&);
    bool hasCapacityFor(const PrepareRequest&) const;
    void advanceTask(WorkerTask&, Time now);
    void end(WorkerTask&, TaskState, const std::string& reason, Time now);
    double completedShare(const WorkerTask&, Time now) const;
    void logTaskEvent(Time now, const std::string& event, const TaskKey&, const std::string& reason);
    Time toMachineTime(std::int64_t clockUs) const { return Time(Duration(clockUs) - identity_.clockOffset_); }
    std::int64_t workerClockUs(Time now) const { return (now.time_since_epoch() + identity_.clockOffset_).count(); }

    WorkerIdentity identity_;
    WorkerTiming timing_;
    EventLog& log_;
    FaultSet& faults_;
    Checkpoints& checkpoints_;
    std::uint64_t epoch_ = 0;
    Time permitEndsAt_ { Duration::zero() };
    std::map<TaskKey, WorkerTask> tasks_;
    /** Tasks that were stopped or forgotten and must not start again. */
    std::set<TaskKey> rejectedTasks_;
};

}
