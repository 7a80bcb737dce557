#include "scheduler/gangmachine.h"

#include "scheduler/reservationkeeper.h"
#include "scheduler/schedulerlimits.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** True if every task of the gang is in a state for which `predicate` holds. */
    template <typename Predicate>
    bool all(const JobEntry& entry, Predicate predicate)
    {
        return std::all_of(entry.tasks_.begin(), entry.tasks_.end(), [&](const GangTask& task) { return predicate(task.state_); });
    }

    template <typename Predicate>
    bool any(const JobEntry& entry, Predicate predicate)
    {
        return std::any_of(entry.tasks_.begin(), entry.tasks_.end(), [&](const GangTask& task) { return predicate(task.state_); });
    }

    bool isFinishedTask(GangTaskState state) { return state == GangTaskState::Finished; }
    bool isRunningOrFinished(GangTaskState state) { return state == GangTaskState::Running || state == GangTaskState::Finished; }
    bool hasEndedEarly(GangTaskState state) { return hasEnded(state) && state != GangTaskState::Finished; }

    bool isStarting(JobPhase phase) { return phase == JobPhase::Preparing || phase == JobPhase::Starting; }

    GangTaskState stateOf(TaskState state)
    {
        switch (state) {
        case TaskState::Prepared:
            return GangTaskState::Prepared;
        case TaskState::Running:
            return GangTaskState::Running;
        case TaskState::Checkpointed:
            return GangTaskState::Checkpointed;
        case TaskState::Finished:
            return GangTaskState::Finished;
        case TaskState::Failed:
            return GangTaskState::Failed;
        case TaskState::Stopped:
            return GangTaskState::Stopped;
        }
        return GangTaskState::Stopped;
    }

    bool isLive(TaskState state) { return state == TaskState::Prepared || state == TaskState::Running; }

    /** The gang's work that survives: what the checkpoints of all of its tasks hold. */
    double commonShare(const JobEntry& entry)
    {
        double share = 1;
        for (const GangTask& task : entry.tasks_)
            share = std::min(share, task.checkpointedShare_);
        return entry.tasks_.empty() ? 0 : share;
    }

}

void GangMachine::submit(const JobSubmitted& event)
{
    if (state_.ended_.count(event.spec_.id_) > 0)
        return;
    const auto [position, isNew] = state_.jobs_.emplace(event.spec_.id_, JobEntry {});
    if (!isNew)
        return;
    JobEntry& entry = position->second;
    entry.spec_ = event.spec_;
    entry.spec_.tasks_ = std::clamp(event.spec_.tasks_, 1, maxGangTasks);
    entry.shape_ = event.spec_.shape_;
    entry.submitted_ = event.submitted_;
    entry.queuedAt_ = event.submitted_;
    entry.attempts_ = event.attempts_;
    entry.failures_ = event.failures_;
    entry.checkpointedShare_ = event.checkpointedShare_;
    adoptStrays(entry);
    const bool wasPlaced = event.state_ == JobState::Placed || event.state_ == JobState::Prepared || event.state_ == JobState::Running;
    if (!wasPlaced) {
        state_.queue_.add(entry);
        return;
    }
    adopt(entry, event);
}

void GangMachine::adoptStrays(JobEntry& entry)
{
    // Every live task of the job that was reported before the job was told.
    const TaskKey first { entry.spec_.id_, 0, 0 };
    for (auto stray = state_.strays_.lower_bound(first); stray != state_.strays_.end() && stray->first.job_ == entry.spec_.id_; ++stray) {
        ++entry.strays_;
        if (stray->first.attempt_ != entry.attempts_)
            stray->second.stopAt_ = now_;
    }
}

void GangMachine::adopt(JobEntry& entry, const JobSubmitted& event)
{
    setBorrower(entry, true);
    entry.wasStartSent_ = event.state_ != JobState::Placed;
    entry.recorded_ = event.state_;
    entry.tasks_.resize(static_cast<std::size_t>(entry.spec_.tasks_));
    for (std::size_t index = 0; index < entry.tasks_.size(); ++index) {
        GangTask& task = entry.tasks_[index];
        task.state_ = index < event.placement_.size() ? GangTaskState::Unseen : GangTaskState::Stopped;
        task.checkpointedShare_ = entry.checkpointedShare_;
        if (hasEnded(task.state_))
            continue;
        task.worker_ = state_.workers_.intern(event.placement_[index]);
        const TaskKey key = entry.taskKey(static_cast<int>(index));
        const auto stray = state_.strays_.find(key);
        if (stray != state_.strays_.end() && stray->second.worker_ == task.worker_) {
            task.state_ = stateOf(stray->second.state_);
            task.accelerators_ = state_.workers_.at(task.worker_).holdings().at(key).accelerators_;
            state_.strays_.erase(stray);
            --entry.strays_;
        }
        hold(entry, static_cast<int>(index));
    }
    setPhase(entry, JobPhase::Adopting);
    setWake(entry);
    evaluate(entry);
}

void GangMachine::cancel(const JobId& id)
{
    JobEntry* entry = state_.findJob(id);
    if (!entry)
        return;
    if (entry->phase_ == JobPhase::Queued) {
        ReservationKeeper(state_, now_).drop(id);
        state_.queue_.remove(*entry);
        finish(*entry, JobState::Cancelled, "cancelled");
        return;
    }
    stop(*entry, AfterStop::Cancel, Blame::None, "cancelled");
}

void GangMachine::forget(const JobId& id)
{
    JobEntry* entry = state_.findJob(id);
    if (!entry)
        return;
    if (entry->phase_ != JobPhase::Queued) {
        stop(*entry, AfterStop::Forget, Blame::None, "taken over by another data centre");
        return;
    }
    ReservationKeeper(state_, now_).drop(id);
    state_.queue_.remove(*entry);
    state_.jobs_.erase(id);
}

void GangMachine::place(JobEntry& entry, const Placement& placement)
{
    ReservationKeeper reservations(state_, now_);
    reservations.drop(entry.spec_.id_);
    if (!placement.isBorrowed())
        reservations.dropBorrowedOn(placement);
    state_.queue_.remove(entry);
    ++entry.attempts_;
    setBorrower(entry, placement.isBorrowed());
    entry.tasks_.clear();
    for (const TaskPlace& place : placement.tasks_) {
        GangTask task;
        task.worker_ = place.worker_;
        task.accelerators_ = place.accelerators_;
        task.home_ = place.home_;
        task.checkpointedShare_ = entry.checkpointedShare_;
        entry.tasks_.push_back(task);
    }
    setPhase(entry, JobPhase::Preparing);
    entry.phaseDeadline_ = now_ + prepareTime;
    entry.resendAt_ = now_ + resendTime;
    record(entry, JobState::Placed, {});
    for (int index = 0; index < entry.spec_.tasks_; ++index) {
        hold(entry, index);
        sendPrepare(entry, index);
    }
    setWake(entry);
}

void GangMachine::hold(const JobEntry& entry, int index)
{
    const GangTask& task = entry.tasks_[static_cast<std::size_t>(index)];
    Holding holding;
    holding.accelerators_ = task.accelerators_;
    holding.processorMillis_ = entry.shape_.processorMillis_;
    holding.memoryBytes_ = std::max(entry.shape_.memoryBytes_, task.memoryBytes_);
    holding.home_ = task.home_;
    state_.workers_.hold(task.worker_, entry.taskKey(index), holding);
}

void GangMachine::preempt(JobEntry& entry, Time deadline, const std::string& reason)
{
    if (entry.phase_ == JobPhase::Stopping)
        return;
    if (entry.phase_ != JobPhase::Running || !entry.spec_.canCheckpoint_ || !entry.spec_.isIdempotent_) {
        stop(entry, AfterStop::Requeue, Blame::None, reason);
        return;
    }
    setPhase(entry, JobPhase::Stopping);
    entry.afterStop_ = AfterStop::Requeue;
    entry.blame_ = Blame::None;
    entry.stopReason_ = reason;
    entry.isCheckpointing_ = true;
    entry.phaseDeadline_ = deadline;
    entry.resendAt_ = now_ + resendTime;
    resend(entry);
    setWake(entry);
}

void GangMachine::stop(JobEntry& entry, AfterStop afterStop, Blame blame, const std::string& reason)
{
    if (entry.phase_ == JobPhase::Queued)
        return;
    const bool isOverruled = entry.phase_ == JobPhase::Stopping && afterStop == AfterStop::Requeue;
    if (isOverruled && !entry.isCheckpointing_)
        return;
    if (!isOverruled) {
        entry.afterStop_ = afterStop;
        entry.blame_ = blame;
        entry.stopReason_ = reason;
    }
    setPhase(entry, JobPhase::Stopping);
    entry.isCheckpointing_ = false;
    entry.phaseDeadline_ = Time::max();
    entry.resendAt_ = now_ + resendTime;
    stopUnended(entry);
    setWake(entry);
    evaluate(entry);
}

void GangMachine::stopUnended(JobEntry& entry)
{
    for (int index = 0; index < static_cast<int>(entry.tasks_.size()); ++index) {
        const GangTask& task = entry.tasks_[static_cast<std::size_t>(index)];
        if (!hasEnded(task.state_))
            sendStop(entry.taskKey(index), task.worker_);
    }
}

void GangMachine::finish(JobEntry& entry, JobState jobState, const std::string& reason)
{
    record(entry, jobState, reason);
    setBorrower(entry, false);
    const JobId id = entry.spec_.id_;
    state_.health_.forget(id);
    state_.timers_.move(id, entry.wakeAt_, Time::max());
    state_.ended_.insert(id);
    state_.endedInOrder_.emplace_back(now_ + endedJobMemory, id);
    state_.jobs_.erase(id);
}

void GangMachine::setTaskState(JobEntry& entry, int index, GangTaskState next)
{
    GangTask& task = entry.tasks_[static_cast<std::size_t>(index)];
    if (hasEnded(task.state_))
        return;
    // A late report of an earlier step changes nothing.
    const bool isStep = next > task.state_;
    if (!isStep)
        return;
    task.state_ = next;
    if (!hasEnded(next))
        return;
    state_.workers_.release(task.worker_, entry.taskKey(index));
    if (task.home_ != noHome)
        state_.touchGuarantee(entry.spec_.organisation_);
    if (next == GangTaskState::Finished)
        state_.health_.finished(task.worker_, state_.workers_);
    else if (next == GangTaskState::Failed || next == GangTaskState::Refused)
        state_.health_.failed(entry.spec_.id_, task.worker_, state_.workers_, now_);
}

void GangMachine::workerLost(int worker)
{
    std::vector<TaskKey> held;
    for (const auto& [key, holding] : state_.workers_.at(worker).holdings())
        held.push_back(key);
    ReservationKeeper(state_, now_).dropOn(worker);
    state_.workers_.leave(worker);
    state_.bindAt_ = std::min(state_.bindAt_, now_);
    for (const TaskKey& key : held) {
        if (state_.strays_.count(key) > 0) {
            strayEnded(key);
            continue;
        }
        if (JobEntry* entry = state_.findJob(key.job_))
            setTaskState(*entry, key.index_, GangTaskState::WorkerLost);
    }
    for (const TaskKey& key : held) {
        if (JobEntry* entry = state_.findJob(key.job_))
            evaluate(*entry);
    }
}

void GangMachine::workerReported(const WorkerReported& event)
{
    const int worker = state_.workers_.find(event.worker_);
    if (worker < 0)
        return;
    const std::set<TaskKey> named(event.tasks_.begin(), event.tasks_.end());
    std::vector<TaskKey> missing;
    for (const auto& [key, holding] : state_.workers_.at(worker).holdings()) {
        if (named.count(key) == 0 && state_.strays_.count(key) == 0)
            missing.push_back(key);
    }
    for (const TaskKey& key : missing) {
        JobEntry* entry = state_.findJob(key.job_);
        if (!entry || entry->taskKey(key.index_) != key)
            continue;
        GangTask& task = entry->tasks_[static_cast<std::size_t>(key.index_)];
        if (task.state_ == GangTaskState::Unseen) {
            // The worker obeys the present epoch only, so no earlier prepare can still arrive.
            setTaskState(*entry, key.index_, GangTaskState::Stopped);
            evaluate(*entry);
            continue;
        }
        const bool wasSeen = task.state_ == GangTaskState::Prepared || task.state_ == GangTaskState::Running;
        if (wasSeen && ++task.missedReports_ >= reportsUntilMissing)
            stop(*entry, AfterStop::Requeue, Blame::Worker, "worker " + event.worker_.value() + " no longer knows the task");
    }
}

void GangMachine::taskReported(const TaskReported& event)
{
    const int worker = state_.workers_.intern(event.worker_);
    JobEntry* entry = state_.findJob(event.task_.job_);
    const bool isOurs = entry && event.task_.attempt_ == entry->attempts_ && event.task_.index_ >= 0
        && event.task_.index_ < static_cast<int>(entry->tasks_.size())
        && entry->tasks_[static_cast<std::size_t>(event.task_.index_)].worker_ == worker
        && entry->phase_ != JobPhase::Queued;
    if (!isOurs) {
        strayReported(event, worker);
        return;
    }
    GangTask& task = entry->tasks_[static_cast<std::size_t>(event.task_.index_)];
    if (hasEnded(task.state_)) {
        // It ended, so this report is late, unless a worker breaks its word: then it is stopped again.
        if (isLive(event.state_) && task.state_ != GangTaskState::Finished)
            sendStop(event.task_, worker);
        return;
    }
    updateFromReport(*entry, event.task_.index_, event);
    if (!isWithinMemory(*entry, event))
        return;
    evaluate(*entry);
}

bool GangMachine::isWithinMemory(JobEntry& entry, const TaskReported& event)
{
    GangTask& task = entry.tasks_[static_cast<std::size_t>(event.task_.index_)];
    if (entry.phase_ != JobPhase::Running || task.state_ != GangTaskState::Running || event.memoryBytes_ == task.memoryBytes_)
        return true;
    task.memoryBytes_ = event.memoryBytes_;
    hold(entry, event.task_.index_);
    const std::int64_t declared = entry.shape_.memoryBytes_;
    const std::int64_t tolerated = declared + declared / memoryToleranceDivisor;
    if (declared == 0 || event.memoryBytes_ <= tolerated)
        return true;
    const bool harmsOthers = state_.workers_.at(task.worker_).freeMemoryBytes() < 0;
    const bool wasThrottled = task.throttledAt_ != Time::max();
    if (!harmsOthers && !wasThrottled) {
        task.throttledAt_ = now_;
        state_.actions_.emplace_back(ThrottleTask { event.task_, event.worker_ });
        return true;
    }
    if (!harmsOthers && now_ < task.throttledAt_ + throttleTime)
        return true;
    entry.shape_.memoryBytes_ = event.memoryBytes_ + event.memoryBytes_ / memoryToleranceDivisor;
    stop(entry, AfterStop::Requeue, Blame::Job, "a task took " + std::to_string(event.memoryBytes_) + " bytes of memory, declared were " + std::to_string(declared));
    return false;
}

void GangMachine::updateFromReport(JobEntry& entry, int index, const TaskReported& event)
{
    GangTask& task = entry.tasks_[static_cast<std::size_t>(index)];
    task.missedReports_ = 0;
    task.checkpointedShare_ = std::clamp(std::max(task.checkpointedShare_, event.checkpointedShare_), 0.0, 1.0);
    if (task.state_ == GangTaskState::Unseen && isLive(event.state_)) {
        task.accelerators_ = maskOf(event.accelerators_);
        hold(entry, index);
    }
    if (event.state_ == TaskState::Failed && entry.phase_ != JobPhase::Stopping) {
        entry.failedOn_.insert(task.worker_);
        entry.stopReason_ = "task " + std::to_string(index) + " failed on worker " + event.worker_.value() + ": " + event.reason_;
    }
    setTaskState(entry, index, stateOf(event.state_));
}

void GangMachine::taskRefused(const TaskRefused& event)
{
    const int worker = state_.workers_.find(event.worker_);
    JobEntry* entry = state_.findJob(event.task_.job_);
    if (worker < 0 || !entry || event.task_.attempt_ != entry->attempts_ || event.task_.index_ < 0
        || event.task_.index_ >= static_cast<int>(entry->tasks_.size()))
        return;
    GangTask& task = entry->tasks_[static_cast<std::size_t>(event.task_.index_)];
    if (task.worker_ != worker || hasEnded(task.state_))
        return;
    if (entry->phase_ != JobPhase::Stopping)
        entry->stopReason_ = "worker " + event.worker_.value() + " refused task " + std::to_string(event.task_.index_) + ": " + event.reason_;
    setTaskState(*entry, event.task_.index_, GangTaskState::Refused);
    evaluate(*entry);
}

void GangMachine::evaluate(JobEntry& entry)
{
    switch (entry.phase_) {
    case JobPhase::Queued:
        return;
    case JobPhase::Adopting:
        evaluateAdopting(entry);
        return;
    case JobPhase::Stopping:
        if (all(entry, hasEnded))
            settle(entry);
        return;
    case JobPhase::Preparing:
    case JobPhase::Starting:
    case JobPhase::Running:
        break;
    }
    if (any(entry, hasEndedEarly)) {
        const bool isFailure = any(entry, [](GangTaskState state) { return state == GangTaskState::Failed; });
        std::string reason = entry.stopReason_.empty() ? "a task ended early" : entry.stopReason_;
        if (any(entry, [](GangTaskState state) { return state == GangTaskState::WorkerLost; }))
            reason = "a worker of the gang was lost";
        stop(entry, AfterStop::Requeue, isFailure ? Blame::JobAndWorker : Blame::Worker, reason);
        return;
    }
    if (all(entry, isFinishedTask)) {
        settle(entry);
        return;
    }
    if (entry.phase_ == JobPhase::Preparing && all(entry, [](GangTaskState state) { return state >= GangTaskState::Prepared; }))
        startOrWait(entry);
    else if (entry.phase_ == JobPhase::Starting && all(entry, isRunningOrFinished))
        becomeRunning(entry);
}

void GangMachine::evaluateAdopting(JobEntry& entry)
{
    if (any(entry, [](GangTaskState state) { return state == GangTaskState::Unseen; }))
        return;
    if (any(entry, hasEndedEarly)) {
        stop(entry, AfterStop::Requeue, Blame::Worker, "a task of the gang was gone when the scheduler changed hands");
        return;
    }
    if (all(entry, isRunningOrFinished)) {
        becomeRunning(entry);
        return;
    }
    // All are there and some were not started: go on where the earlier holder stopped.
    setPhase(entry, JobPhase::Preparing);
    entry.phaseDeadline_ = now_ + prepareTime;
    setWake(entry);
    startOrWait(entry);
}

void GangMachine::startOrWait(JobEntry& entry)
{
    if (state_.mayStart(now_)) {
        start(entry);
        return;
    }
    state_.awaitingPermit_.insert(entry.spec_.id_);
}

void GangMachine::start(JobEntry& entry)
{
    setPhase(entry, JobPhase::Starting);
    entry.phaseDeadline_ = state_.startPermitUntil_ + startConfirmTime;
    entry.resendAt_ = now_ + resendTime;
    entry.wasStartSent_ = true;
    if (entry.recorded_ != JobState::Running)
        record(entry, JobState::Prepared, {});
    for (int index = 0; index < static_cast<int>(entry.tasks_.size()); ++index) {
        GangTask& task = entry.tasks_[static_cast<std::size_t>(index)];
        if (task.state_ != GangTaskState::Prepared)
            continue;
        task.state_ = GangTaskState::StartSent;
        state_.actions_.emplace_back(StartTask { entry.taskKey(index), state_.workers_.at(task.worker_).id(), state_.startPermitUntil_ });
    }
    setWake(entry);
}

void GangMachine::becomeRunning(JobEntry& entry)
{
    setPhase(entry, JobPhase::Running);
    entry.phaseDeadline_ = Time::max();
    entry.resendAt_ = Time::max();
    const bool wasAdopted = entry.recorded_ == JobState::Running;
    entry.startedAt_ = now_;
    entry.shareAtStart_ = entry.checkpointedShare_;
    if (wasAdopted)
        state_.bindAt_ = std::min(state_.bindAt_, now_ + bindDelay);
    entry.stopReason_.clear();
    setWake(entry);
    record(entry, JobState::Running, {});
    if (all(entry, isFinishedTask))
        settle(entry);
}

void GangMachine::settle(JobEntry& entry)
{
    entry.checkpointedShare_ = std::max(entry.checkpointedShare_, commonShare(entry));
    const bool isCheckpointed = entry.phase_ == JobPhase::Stopping && all(entry, [](GangTaskState state) { return state == GangTaskState::Checkpointed || state == GangTaskState::Finished; });
    setPhase(entry, JobPhase::Stopping);
    if (all(entry, isFinishedTask)) {
        state_.estimator_.finished(entry, now_ - entry.startedAt_);
        finish(entry, JobState::Finished, {});
        return;
    }
    if (entry.afterStop_ == AfterStop::Forget) {
        const JobId id = entry.spec_.id_;
        setBorrower(entry, false);
        state_.health_.forget(id);
        state_.timers_.move(id, entry.wakeAt_, Time::max());
        state_.jobs_.erase(id);
        return;
    }
    if (entry.afterStop_ == AfterStop::Cancel) {
        finish(entry, JobState::Cancelled, entry.stopReason_);
        return;
    }
    if (!entry.spec_.isIdempotent_ && entry.wasStartSent_) {
        const bool isUnknown = any(entry, [](GangTaskState state) { return state == GangTaskState::WorkerLost; });
        finish(entry, isUnknown ? JobState::Unknown : JobState::Failed, entry.stopReason_ + "; not idempotent, so it is not started again");
        return;
    }
    if (entry.afterStop_ == AfterStop::Fail) {
        finish(entry, JobState::Failed, entry.stopReason_);
        return;
    }
    if (entry.blame_ == Blame::Job || entry.blame_ == Blame::JobAndWorker)
        ++entry.failures_;
    entry.disturbances_ = entry.blame_ == Blame::Worker ? entry.disturbances_ + 1 : 0;
    if (entry.failures_ >= state_.configuration_.policy_.maxAttempts_) {
        finish(entry, JobState::Failed, "failed " + std::to_string(entry.failures_) + " times, last: " + entry.stopReason_);
        return;
    }
    if (entry.disturbances_ >= maxDisturbances) {
        finish(entry, JobState::Failed, "disturbed " + std::to_string(entry.disturbances_) + " times in a row, last: " + entry.stopReason_);
        return;
    }
    record(entry, isCheckpointed ? JobState::Checkpointed : JobState::Queued, entry.stopReason_);
    requeue(entry);
}

void GangMachine::requeue(JobEntry& entry)
{
    setBorrower(entry, false);
    setPhase(entry, JobPhase::Queued);
    entry.queuedAt_ = now_;
    entry.fittedAt_ = 0;
    entry.tasks_.clear();
    entry.isCheckpointing_ = false;
    entry.phaseDeadline_ = Time::max();
    entry.resendAt_ = Time::max();
    setWake(entry);
    state_.queue_.add(entry);
}

void GangMachine::permitExtended()
{
    if (!state_.mayStart(now_))
        return;
    const std::set<JobId> waiting = state_.awaitingPermit_;
    for (const JobId& id : waiting) {
        if (JobEntry* entry = state_.findJob(id))
            evaluate(*entry);
    }
}

void GangMachine::tick()
{
    while (const auto id = state_.timers_.takeDue(now_)) {
        JobEntry* entry = state_.findJob(*id);
        if (!entry)
            continue;
        entry->wakeAt_ = Time::max();
        jobDue(*entry);
    }
    stopDueStrays();
    forgetEndedJobs();
}

void GangMachine::jobDue(JobEntry& entry)
{
    if (entry.phaseDeadline_ <= now_) {
        entry.phaseDeadline_ = Time::max();
        const bool isWaiting = state_.awaitingPermit_.count(entry.spec_.id_) > 0;
        if (entry.phase_ == JobPhase::Preparing)
            stop(entry, AfterStop::Requeue, isWaiting ? Blame::None : Blame::Worker, isWaiting ? "no start permit in time" : "not every task was prepared in time");
        else if (entry.phase_ == JobPhase::Starting)
            stop(entry, AfterStop::Requeue, Blame::Worker, "not every task confirmed its start in time");
        else if (entry.phase_ == JobPhase::Stopping)
            stop(entry, AfterStop::Requeue, Blame::None, entry.stopReason_);
        return;
    }
    if (entry.resendAt_ <= now_) {
        entry.resendAt_ = now_ + resendTime;
        resend(entry);
    }
    setWake(entry);
}

void GangMachine::resend(JobEntry& entry)
{
    if (entry.phase_ == JobPhase::Stopping && !entry.isCheckpointing_) {
        stopUnended(entry);
        return;
    }
    for (int index = 0; index < static_cast<int>(entry.tasks_.size()); ++index) {
        const GangTask& task = entry.tasks_[static_cast<std::size_t>(index)];
        if (hasEnded(task.state_))
            continue;
        const WorkerId& worker = state_.workers_.at(task.worker_).id();
        if (entry.phase_ == JobPhase::Stopping)
            state_.actions_.emplace_back(CheckpointTask { entry.taskKey(index), worker, entry.phaseDeadline_ });
        else if (task.state_ == GangTaskState::Asked)
            sendPrepare(entry, index);
        else if (task.state_ == GangTaskState::StartSent && state_.mayStart(now_))
            state_.actions_.emplace_back(StartTask { entry.taskKey(index), worker, state_.startPermitUntil_ });
    }
    if (entry.phase_ == JobPhase::Starting && state_.mayStart(now_))
        entry.phaseDeadline_ = std::max(entry.phaseDeadline_, state_.startPermitUntil_ + startConfirmTime);
}

void GangMachine::setPhase(JobEntry& entry, JobPhase phase)
{
    state_.gangsStarting_ += static_cast<int>(isStarting(phase)) - static_cast<int>(isStarting(entry.phase_));
    if (phase != JobPhase::Preparing)
        state_.awaitingPermit_.erase(entry.spec_.id_);
    entry.phase_ = phase;
}

void GangMachine::setBorrower(JobEntry& entry, bool isBorrower)
{
    if (entry.isBorrower_ == isBorrower)
        return;
    entry.isBorrower_ = isBorrower;
    const std::int64_t units = unitsOf(entry.spec_.shape_) * entry.spec_.tasks_;
    std::int64_t& borrowed = state_.borrowedUnits_[entry.spec_.organisation_];
    borrowed += isBorrower ? units : -units;
}

void GangMachine::moveToHomes(JobEntry& entry, const std::vector<int>& homes)
{
    for (std::size_t index = 0; index < entry.tasks_.size(); ++index) {
        GangTask& task = entry.tasks_[index];
        task.home_ = homes.empty() ? noHome : homes[index];
        if (!hasEnded(task.state_))
            hold(entry, static_cast<int>(index));
    }
    setBorrower(entry, homes.empty());
}

void GangMachine::setWake(JobEntry& entry)
{
    const Time next = std::min(entry.phaseDeadline_, entry.resendAt_);
    state_.timers_.move(entry.spec_.id_, entry.wakeAt_, next);
    entry.wakeAt_ = next;
}

void GangMachine::record(JobEntry& entry, JobState jobState, const std::string& reason)
{
    const bool isRecorded = entry.recorded_ == jobState && (jobState == JobState::Prepared || jobState == JobState::Running);
    if (isRecorded)
        return;
    entry.recorded_ = jobState;
    RecordJob action;
    action.job_ = entry.spec_.id_;
    action.state_ = jobState;
    action.attempt_ = entry.attempts_;
    action.checkpointedShare_ = entry.checkpointedShare_;
    action.failures_ = entry.failures_;
    action.reason_ = reason;
    if (jobState == JobState::Placed || jobState == JobState::Prepared || jobState == JobState::Running) {
        for (const GangTask& task : entry.tasks_)
            action.placement_.push_back(state_.workers_.at(task.worker_).id());
    }
    state_.actions_.emplace_back(std::move(action));
}

void GangMachine::sendPrepare(const JobEntry& entry, int index)
{
    const GangTask& task = entry.tasks_[static_cast<std::size_t>(index)];
    state_.actions_.emplace_back(PrepareTask { entry.taskKey(index), state_.workers_.at(task.worker_).id(), positionsOf(task.accelerators_), entry.shape_ });
}

void GangMachine::sendStop(const TaskKey& key, int worker)
{
    state_.actions_.emplace_back(StopTask { key, state_.workers_.at(worker).id() });
}

}
