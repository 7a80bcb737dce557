#include "scheduler/fakeworkers.h"

#include "base/overloaded.h"

#include <algorithm>
#include <cppunit/TestAssert.h>

namespace fescuecleat {

void FakeWorkers::join(SchedulerCore& scheduler, int count, int perRack, Time now)
{
    for (int i = 0; i < count; ++i) {
        WorkerJoined joined;
        joined.worker_ = WorkerId("w" + std::to_string(100 + i));
        joined.rack_ = RackId("r" + std::to_string(i / perRack));
        joined.capacity_ = WorkerCapacity { 8, 64000, 256LL << 30 };
        workers_[joined.worker_] = joined;
        handle(scheduler, joined, now);
    }
}

void FakeWorkers::handle(SchedulerCore& scheduler, const SchedulerEvent& event, Time now)
{
    if (const auto* submitted = std::get_if<JobSubmitted>(&event))
        specs_[submitted->spec_.id_] = submitted->spec_;
    const std::vector<SchedulerAction> actions = scheduler.handle(event, now);
    if (observer_)
        observer_(event, now, actions);
    for (const SchedulerAction& action : actions)
        recordAction(action, now);
    checkInvariants(now);
}

void FakeWorkers::recordAction(const SchedulerAction& action, Time now)
{
    if (const auto* record = std::get_if<RecordJob>(&action)) {
        const auto previous = records_.find(record->job_);
        const JobState from = previous == records_.end() ? JobState::Queued : previous->second.state_;
        CPPUNIT_ASSERT_MESSAGE(std::string("transition ") + jobStateName(from) + " to " + jobStateName(record->state_), isAllowedTransition(from, record->state_));
        records_[record->job_] = *record;
        return;
    }
    if (const auto* start = std::get_if<StartTask>(&action)) {
        CPPUNIT_ASSERT_MESSAGE("start without permit", now < permitUntil_ && start->deadline_ <= permitUntil_ && !isTakenOut_);
        const RecordJob& record = records_.at(start->task_.job_);
        CPPUNIT_ASSERT_MESSAGE("start before its record", record.state_ == JobState::Prepared && record.attempt_ == start->task_.attempt_);
    }
    if (const auto* prepare = std::get_if<PrepareTask>(&action))
        CPPUNIT_ASSERT_MESSAGE("prepare before its record", records_.at(prepare->task_.job_).state_ == JobState::Placed);
    if (std::holds_alternative<OfferJob>(action))
        return;
    messages_.push_back(action);
}

void FakeWorkers::checkInvariants(Time) const
{
    std::map<WorkerId, std::set<int>> allocated;
    std::map<JobId, std::set<int>> attempts;
    for (const auto& [key, placed] : tasks_) {
        const auto& [worker, task] = placed;
        attempts[key.job_].insert(key.attempt_);
        for (const int accelerator : task.accelerators_)
            CPPUNIT_ASSERT_MESSAGE("accelerator allocated twice", allocated[worker].insert(accelerator).second);
    }
    for (const auto& [job, numbers] : attempts)
        CPPUNIT_ASSERT_EQUAL_MESSAGE("two attempts of a job at the same time", std::size_t { 1 }, numbers.size());
}

void FakeWorkers::report(SchedulerCore& scheduler, const TaskKey& key, const WorkerId& worker, TaskState state, Time now)
{
    TaskReported reported;
    reported.task_ = key;
    reported.worker_ = worker;
    reported.state_ = state;
    const auto task = tasks_.find(key);
    if (task != tasks_.end())
        reported.accelerators_ = task->second.second.accelerators_;
    handle(scheduler, reported, now);
}

void FakeWorkers::deliver(SchedulerCore& scheduler, std::size_t count, Time now)
{
    for (; count > 0 && !messages_.empty(); --count) {
        const SchedulerAction message = messages_.front();
        messages_.erase(messages_.begin());
        receive(scheduler, message, now);
    }
}

Time FakeWorkers::advanceTime(SchedulerCore& scheduler, Time now, Duration duration)
{
    const Time end = now + duration;
    deliverAll(scheduler, now);
    while (now < end) {
        now = std::min(end, std::max(scheduler.nextDeadline(), now + std::chrono::milliseconds(100)));
        handle(scheduler, Tick {}, now);
        deliverAll(scheduler, now);
    }
    return now;
}

void FakeWorkers::receive(SchedulerCore& scheduler, const SchedulerAction& message, Time now)
{
    const auto isPresent = [&](const auto& action) { return workers_.count(action.worker_) > 0; };
    std::visit(
        Overloaded {
            [&](const PrepareTask& prepare) {
                if (!isPresent(prepare) || stopped_.count(prepare.task_) > 0)
                    return;
                if (tasks_.count(prepare.task_) == 0)
                    tasks_[prepare.task_] = { prepare.worker_, FakeTask { TaskState::Prepared, prepare.accelerators_ } };
                report(scheduler, prepare.task_, prepare.worker_, tasks_.at(prepare.task_).second.state_, now);
            },
            [&](const StartTask& start) {
                const auto task = tasks_.find(start.task_);
                if (!isPresent(start) || task == tasks_.end() || now >= start.deadline_)
                    return;
                if (task->second.second.state_ == TaskState::Prepared && start.task_.index_ == 0)
                    ++starts_[start.task_.job_];
                // The gang must hold devices before one of its tasks runs.
                int siblings = 0;
                for (const auto& [key, placed] : tasks_)
                    siblings += static_cast<int>(key.job_ == start.task_.job_ && key.attempt_ == start.task_.attempt_);
                CPPUNIT_ASSERT_MESSAGE("gang started partially", siblings > 0);
                task->second.second.state_ = TaskState::Running;
                report(scheduler, start.task_, start.worker_, TaskState::Running, now);
            },
            [&](const StopTask& stop) {
                if (!isPresent(stop))
                    return;
                tasks_.erase(stop.task_);
                stopped_.insert(stop.task_);
                report(scheduler, stop.task_, stop.worker_, TaskState::Stopped, now);
            },
            [&](const CheckpointTask& checkpoint) {
                if (!isPresent(checkpoint) || tasks_.count(checkpoint.task_) == 0)
                    return;
                tasks_.erase(checkpoint.task_);
                stopped_.insert(checkpoint.task_);
                report(scheduler, checkpoint.task_, checkpoint.worker_, TaskState::Checkpointed, now);
            },
            [](const auto&) {} },
        message);
}

void FakeWorkers::dropMessage()
{
    if (!messages_.empty())
        messages_.erase(messages_.begin());
}

void FakeWorkers::delayMessage(bool keepsOriginal)
{
    if (messages_.empty())
        return;
    messages_.push_back(messages_.front());
    if (!keepsOriginal)
        messages_.erase(messages_.begin());
}

bool FakeWorkers::endTask(SchedulerCore& scheduler, const TaskKey& key, TaskState state, Time now)
{
    const auto task = tasks_.find(key);
    if (task == tasks_.end() || task->second.second.state_ != TaskState::Running)
        return false;
    const WorkerId worker = task->second.first;
    tasks_.erase(task);
    stopped_.insert(key);
    report(scheduler, key, worker, state, now);
    return true;
}

void FakeWorkers::loseWorker(SchedulerCore& scheduler, const WorkerId& which, Time now)
{
    // Copied because `which` may refer to an element of tasks_ that is erased below.
    const WorkerId worker(which.value());
    for (auto task = tasks_.begin(); task != tasks_.end();) {
        if (task->second.first == worker)
            task = tasks_.erase(task);
        else
            ++task;
    }
    // Messages in transit on its connections are lost, too.
    const auto isToWorker = [&](const SchedulerAction& message) {
        return std::visit(Overloaded { [&](const RecordJob&) { return false; }, [&](const OfferJob&) { return false; }, [&](const auto& action) { return action.worker_ == worker; } }, message);
    };
    messages_.erase(std::remove_if(messages_.begin(), messages_.end(), isToWorker), messages_.end());
    workers_.erase(worker);
    handle(scheduler, WorkerLost { worker }, now);
}

void FakeWorkers::reportAll(SchedulerCore& scheduler, Time now)
{
    for (const auto& [id, joined] : workers_) {
        handle(scheduler, joined, now);
        WorkerReported reported { id, {} };
        const auto tasks = tasks_;
        for (const auto& [key, placed] : tasks) {
            if (placed.first != id)
                continue;
            reported.tasks_.push_back(key);
            report(scheduler, key, id, placed.second.state_, now);
        }
        handle(scheduler, reported, now);
    }
}

std::vector<TaskKey> FakeWorkers::runningTasks() const
{
    std::vector<TaskKey> running;
    for (const auto& [key, placed] : tasks_) {
        if (placed.second.state_ == TaskState::Running)
            running.push_back(key);
    }
    return running;
}

int FakeWorkers::count(TaskState state) const
{
    return static_cast<int>(std::count_if(tasks_.begin(), tasks_.end(), [&](const auto& task) { return task.second.second.state_ == state; }));
}

}
