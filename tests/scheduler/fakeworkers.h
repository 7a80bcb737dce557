#pragma once

#include "scheduler/schedulercore.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/** What a worker of the test does with one task. */
struct FakeTask {
    TaskState state_ = TaskState::Prepared;
    std::vector<int> accelerators_;
};

/**
 * Workers without a network: the test chooses which messages arrive. It checks
 * by itself, from actions and reports only, that no accelerator is held twice,
 * that no gang runs in part, and that nothing starts without a permit.
 */
class FakeWorkers {
public:
    /** Joins `count` workers of eight accelerators, `perRack` to a rack. */
    void join(SchedulerCore&, int count, int perRack, Time now);

    /** Hands an event to the scheduler, notes its actions and checks them. */
    void handle(SchedulerCore&, const SchedulerEvent&, Time now);

    /** Lets the oldest `count` messages arrive; the reports go back at once. */
    void deliver(SchedulerCore&, std::size_t count, Time now);
    void deliverAll(SchedulerCore& scheduler, Time now)
    {
        while (!messages_.empty())
            deliver(scheduler, messages_.size(), now);
    }
    /** Lets time pass, with every message delivered and every deadline met; returns the time after it. */
    Time pass(SchedulerCore&, Time now, Duration);
    /** Loses the oldest message. */
    void dropMessage();
    /** Puts the oldest message behind the others, and once more in its place if `twice`. */
    void reorderMessage(bool twice);
    /** A task ends by itself in the state given; false if it doesn't run. */
    bool endTask(SchedulerCore&, const TaskKey&, TaskState, Time now);
    /** The worker dies; its permit has lapsed. */
    void lose(SchedulerCore&, const WorkerId&, Time now);
    /** Everything that each worker knows, as a new holder hears it. */
    void reportAll(SchedulerCore&, Time now);

    const std::map<TaskKey, std::pair<WorkerId, FakeTask>>& tasks() const { return tasks_; }
    std::vector<TaskKey> runningTasks() const;
    const std::vector<SchedulerAction>& messages() const { return messages_; }
    const std::map<JobId, RecordJob>& records() const { return records_; }
    int count(TaskState) const;
    int startsOf(const JobId& job) const { return starts_.count(job) ? starts_.at(job) : 0; }
    /** Called with each event and what the scheduler did. */
    std::function<void(const SchedulerEvent&, Time, const std::vector<SchedulerAction>&)> observer_;

    bool has(const WorkerId& worker) const { return workers_.count(worker) > 0; }
    void setPermit(Time until) { permitUntil_ = until; }
    void setTakenOut(bool isOut) { isOut_ = isOut; }

private:
    void note(const SchedulerAction&, Time now);
    void check(Time now) const;
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
    bool isOut_ = false;
};

}
