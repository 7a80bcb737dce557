#include "standins/worker/workermodel.h"

#include <algorithm>
#include <utility>

namespace fescuecleat::standins {

WorkerModel::WorkerModel(WorkerIdentity identity, WorkerTiming timing, EventLog& log, FaultSet& faults, Checkpoints& checkpoints)
    : identity_(std::move(identity))
    , timing_(timing)
    , log_(log)
    , faults_(faults)
    , checkpoints_(checkpoints)
{
}

void WorkerModel::advance(Time now)
{
    for (auto& [key, task] : tasks_)
        advanceTask(task, now);
}

void WorkerModel::advanceTask(WorkerTask& task, Time now)
{
    if (isEnded(task))
        return;
    if (now >= permitEndsAt_)
        return end(task, TaskState::Stopped, "run permit lapsed", now);
    if (task.state_ != TaskState::Running)
        return;
    if (now >= task.endsAt_)
        return task.request_.behaviour_.fails_ ? end(task, TaskState::Failed, "the task failed", now) : end(task, TaskState::Finished, "", now);
    if (now >= task.checkpointDoneAt_) {
        task.checkpointedShare_ = completedShare(task, now);
        checkpoints_[{ task.request_.task_.job_.value(), task.request_.task_.index_ }] = task.checkpointedShare_;
        return end(task, TaskState::Checkpointed, "", now);
    }
    if (now >= task.killAt_)
        end(task, TaskState::Stopped, "no checkpoint by the deadline", now);
}

bool WorkerModel::acceptEpoch(std::uint64_t epoch)
{
    if (epoch < epoch_)
        return false;
    epoch_ = epoch;
    return true;
}

void WorkerModel::renewPermit(std::int64_t untilUs)
{
    permitEndsAt_ = std::max(permitEndsAt_, toMachineTime(untilUs));
}

void WorkerModel::forget(const TaskKey& key)
{
    const WorkerTask* task = find(key);
    if (!task || !isEnded(*task))
        return;
    tasks_.erase(key);
    rejectedTasks_.insert(key);
}

WorkerRefusal WorkerModel::prepare(const PrepareRequest& request, Time now)
{
    if (const WorkerTask* known = find(request.task_))
        return isEnded(*known) ? WorkerRefusal { "ended", "the task has ended on this worker" } : WorkerRefusal {};
    if (rejectedTasks_.count(request.task_))
        return { "ended", "the task was stopped or forgotten on this worker" };
    if (now >= permitEndsAt_)
        return { "no_permit", "the worker has no run permit; renew it first" };
    if (!hasCapacityFor(request))
        return { "busy", "the accelerators, processor or memory are not free" };
    WorkerTask task;
    task.request_ = request;
    const auto checkpoint = checkpoints_.find({ request.task_.job_.value(), request.task_.index_ });
    if (checkpoint != checkpoints_.end())
        task.checkpointedShare_ = checkpoint->second;
    tasks_.emplace(request.task_, std::move(task));
    logTaskEvent(now, "prepared", request.task_, "");
    return {};
}

WorkerRefusal WorkerModel::start(const TaskKey& key, std::int64_t startBeforeUs, Time now)
{
    WorkerTask* task = find(key);
    if (!task || rejectedTasks_.count(key))
        return { rejectedTasks_.count(key) ? "ended" : "not_prepared", "the task is not prepared on this worker" };
    if (task->state_ == TaskState::Running)
        return {};
    if (isEnded(*task))
        return { "ended", "the task has ended on this worker" };
    if (workerClockUs(now) > startBeforeUs) {
        logTaskEvent(now, "start_refused", key, "too late");
        return { "too_late", "the start request arrived after its deadline" };
    }
    task->state_ = TaskState::Running;
    task->startedAt_ = now;
    logTaskEvent(now, "started", key, "");
    if (faults_.failsTask(identity_.id_, now) || task->request_.behaviour_.failsOn_ == identity_.id_) {
        end(*task, TaskState::Failed, "the worker fails its tasks", now);
        return {};
    }
    const double remainingShare = 1 - task->checkpointedShare_;
    task->endsAt_ = now + Duration(static_cast<std::int64_t>(static_cast<double>(task->request_.behaviour_.runTime_.count()) * remainingShare));
    return {};
}

WorkerRefusal WorkerModel::checkpoint(const TaskKey& key, std::int64_t deadlineUs, Time now)
{
    WorkerTask* task = find(key);
    if (!task)
        return { "unknown_task", "unknown task" };
    if (isEnded(*task) || task->killAt_ != Time::max())
        return {};
    if (task->state_ == TaskState::Prepared) {
        end(*task, TaskState::Stopped, "stopped before its start", now);
        return {};
    }
    task->killAt_ = toMachineTime(deadlineUs);
    if (task->request_.behaviour_.writesCheckpoints_)
        task->checkpointDoneAt_ = now + timing_.checkpointDuration_;
    return {};
}

void WorkerModel::stop(const TaskKey& key, Time now)
{
    WorkerTask* task = find(key);
    if (task && !isEnded(*task))
        end(*task, TaskState::Stopped, "told to stop", now);
    rejectedTasks_.insert(key);
}

WorkerRefusal WorkerModel::throttle(const TaskKey& key)
{
    WorkerTask* task = find(key);
    if (!task)
        return { "unknown_task", "unknown task" };
    task->isThrottled_ = true;
    return {};
}

JsonValue WorkerModel::report(Time now) const
{
    JsonValue value = jsonObject();
    value.addMember("worker") <<= identity_.id_;
    value.addMember("rack") <<= identity_.rack_;
    value.addMember("data_centre") <<= identity_.dataCentre_;
    JsonValue& capacity = value.addMember("capacity");
    capacity.setCategory(JsonValue::Object);
    capacity.addMember("accelerators") <<= identity_.capacity_.accelerators_;
    capacity.addMember("processor_millis") <<= identity_.capacity_.processorMillis_;
    capacity.addMember("memory_bytes") <<= identity_.capacity_.memoryBytes_;
    value.addMember("clock_us") <<= workerClockUs(now);
    value.addMember("epoch") <<= epoch_;
    JsonValue& tasks = value.addMember("tasks");
    tasks.setCategory(JsonValue::Array);
    for (const auto& [key, task] : tasks_) {
        const bool showsUsage = task.state_ == TaskState::Running && now >= task.startedAt_ + timing_.usageLag_;
        const TaskBehaviour& behaviour = task.request_.behaviour_;
        JsonValue& item = tasks.addMember("");
        item.setCategory(JsonValue::Object);
        item.addMember("job") <<= key.job_.value();
        item.addMember("attempt") <<= key.attempt_;
        item.addMember("index") <<= key.index_;
        item.addMember("state") <<= std::string(taskStateName(task.state_));
        item.addMember("reason") <<= task.reason_;
        JsonValue& accelerators = item.addMember("accelerators");
        accelerators.setCategory(JsonValue::Array);
        for (const int position : task.request_.accelerators_)
            accelerators.addMember("") <<= position;
        item.addMember("memory_bytes") <<= showsUsage ? behaviour.memoryBytes_ : std::int64_t { 0 };
        item.addMember("processor_share") <<= !showsUsage ? 0.0 : task.isThrottled_ ? std::min(1.0, behaviour.processorShare_)
                                                                                    : behaviour.processorShare_;
        item.addMember("checkpointed_share") <<= task.checkpointedShare_;
    }
    return value;
}

WorkerTask* WorkerModel::find(const TaskKey& key)
{
    const auto found = tasks_.find(key);
    return found == tasks_.end() ? nullptr : &found->second;
}

bool WorkerModel::hasCapacityFor(const PrepareRequest& request) const
{
    std::set<int> usedAccelerators;
    std::int64_t processorMillis = request.processorMillis_;
    std::int64_t memoryBytes = request.memoryBytes_;
    for (const auto& [key, task] : tasks_) {
        if (isEnded(task))
            continue;
        usedAccelerators.insert(task.request_.accelerators_.begin(), task.request_.accelerators_.end());
        processorMillis += task.request_.processorMillis_;
        memoryBytes += task.request_.memoryBytes_;
    }
    for (const int position : request.accelerators_) {
        if (position < 0 || position >= identity_.capacity_.accelerators_ || !usedAccelerators.insert(position).second)
            return false;
    }
    return processorMillis <= identity_.capacity_.processorMillis_ && memoryBytes <= identity_.capacity_.memoryBytes_;
}

void WorkerModel::end(WorkerTask& task, TaskState state, const std::string& reason, Time now)
{
    task.state_ = state;
    task.reason_ = reason;
    logTaskEvent(now, taskStateName(state), task.request_.task_, reason);
}

double WorkerModel::completedShare(const WorkerTask& task, Time now) const
{
    const auto runTime = static_cast<double>(task.request_.behaviour_.runTime_.count());
    if (runTime <= 0)
        return 1;
    return std::min(1.0, task.checkpointedShare_ + static_cast<double>((now - task.startedAt_).count()) / runTime);
}

void WorkerModel::logTaskEvent(Time now, const std::string& event, const TaskKey& key, const std::string& reason)
{
    const WorkerTask* task = find(key);
    const std::string accelerators = task ? std::to_string(task->request_.accelerators_.size()) : "0";
    log_.add(now, identity_.id_, event,
        { { "job", key.job_.value() }, { "attempt", std::to_string(key.attempt_) }, { "index", std::to_string(key.index_) },
            { "accelerators", accelerators }, { "epoch", std::to_string(epoch_) }, { "reason", reason } });
}

}
