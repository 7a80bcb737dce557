#pragma once

#include "scheduler/schedulercore.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/** A task on a fake worker. */
struct FakeTask {
    TaskState state_ = TaskState::Prepared;
    std::vector<int> accelerators_;
};

/**
 * Fake workers without a network. The test controls which messages arrive. From
 * actions and reports alone it checks that no accelerator is allocated twice,
 * that no gang runs partially and that nothing starts without a permit.
 */
class FakeWorkers {
public:
    /** Adds `count` workers with eight accelerators each, `perRack` per rack. */
    void join(SchedulerCore&, int count, int perRack, Time now);

    /** Passes an event to the scheduler, then records and checks its actions. */
    void handle(SchedulerCore&, const SchedulerEvent&, Time now);

    /** Delivers the oldest `count` messages; the workers report immediately. */
    void deliver(SchedulerCore&, std::size_t count, Time now);
    void deliverAll(SchedulerCore& scheduler, Time now)
    {
        while (!messages_.empty())
            deliver(scheduler, messages_.size(), now);
    }
    /** Advances time, delivers all messages and handles all deadlines; returns the new time. */
    Time advanceTime(SchedulerCore&, Time now, Duration);
    /** Drops the oldest message. */
    void dropMessage();
    /** Moves the oldest message to the end of the queue, or copies it there if `keepsOriginal`. */
    void delayMessage(bool keepsOriginal);
    /** Ends a running task in the given state; returns false if it isn't running. */
    bool endTask(SchedulerCore&, const TaskKey&, TaskState, Time now);
    /** Removes a worker whose permit has expired, with its tasks. */
    void loseWorker(SchedulerCore&, const WorkerId&, Time now);
    /** Sends full reports of all workers, as after a lease failover. */
    void reportAll(SchedulerCore&, Time now);

    const std::map<TaskKey, std::pair<WorkerId, FakeTask>>& tasks() const { return tasks_; }
    std::vector<TaskKey> runningTasks() const;
    const std::vector<SchedulerAction>& messages() const { return messages_; }
    const std::map<JobId, RecordJob>& records() const { return records_; }
    int count(TaskState) const;
    int startsOf(const JobId& job) const { return starts_.count(job) ? starts_.at(job) : 0; }
    /** Called with each event and the resulting actions. */
    std::function<void(const SchedulerEvent&, Time, const std::vector<SchedulerAction>&)> observer_;

    bool has(const WorkerId& worker) const { return workers_.count(worker) > 0; }
    void setPermit(Time until) { permitUntil_ = until; }
    void setTakenOut(bool isTakenOut) { isTakenOut_ = isTakenOut; }

private:
    void recordAction(const SchedulerAction&, Time now);
    void checkInvariants(Time now) const;
    void report(SchedulerCore&, const TaskKey&, const WorkerId&, TaskState, Time now);
    void receive(SchedulerCore&, const SchedulerAction&, Time now);

    std::map<WorkerId, WorkerJoined> workers_;
    std::map<TaskKey, std::pair<WorkerId, FakeTask>> tasks_;
    std::set<TaskKey> stopped_;
    std::vector<SchedulerAction> messages_;
    std::map<JobId, RecordJob> records_;
    std::map<JobId, JobSpec> specs_;
    std::map<JobId, int> starts_;
    Time permitUntil_ = Time::min();
    bool isTakenOut_ = false;
};

}
