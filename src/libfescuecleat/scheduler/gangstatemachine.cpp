#include "scheduler/gangstatemachine.h"

#include "scheduler/reservationmanager.h"
#include "scheduler/schedulerlimits.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** True if `predicate` holds for the state of every task of the gang. */
    template <typename Predicate>
    bool allTasks(const JobEntry& entry, Predicate predicate)
    {
        return std::all_of(entry.tasks_.begin(), entry.tasks_.end(), [&](const GangTask& task) { return predicate(task.state_); });
    }

    template <typename Predicate>
    bool anyTask(const JobEntry& entry, Predicate predicate)
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

    /** Share of the work that every task of the gang has checkpointed; the gang can resume from there. */
    double commonCheckpointedShare(const JobEntry& entry)
    {
        double share = 1;
        for (const GangTask& task : entry.tasks_)
            share = std::min(share, task.checkpointedShare_);
        return entry.tasks_.empty() ? 0 : share;
    }

}

void GangStateMachine::submit(const JobSubmitted& event)
{
    if (state_.endedJobs_.count(event.spec_.id_) > 0)
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
    adoptOrphans(entry);
    const bool wasPlaced = event.state_ == JobState::Placed || event.state_ == JobState::Prepared || event.state_ == JobState::Running;
    if (!wasPlaced) {
        state_.queue_.add(entry);
        return;
    }
    adopt(entry, event);
}

void GangStateMachine::adoptOrphans(JobEntry& entry)
{
    // Live tasks of the job that were reported before the job was submitted.
    const TaskKey first { entry.spec_.id_, 0, 0 };
    for (auto orphan = state_.orphans_.lower_bound(first); orphan != state_.orphans_.end() && orphan->first.job_ == entry.spec_.id_; ++orphan) {
        ++entry.orphans_;
        if (orphan->first.attempt_ != entry.attempts_)
            orphan->second.stopAt_ = now_;
    }
}

void GangStateMachine::adopt(JobEntry& entry, const JobSubmitted& event)
{
    setIsBorrower(entry, true);
    entry.wasStartSent_ = event.state_ != JobState::Placed;
    entry.recordedState_ = event.state_;
    entry.tasks_.resize(static_cast<std::size_t>(entry.spec_.tasks_));
    for (std::size_t index = 0; index < entry.tasks_.size(); ++index) {
        GangTask& task = entry.tasks_[index];
        task.state_ = index < event.placement_.size() ? GangTaskState::Unconfirmed : GangTaskState::Stopped;
        task.checkpointedShare_ = entry.checkpointedShare_;
        if (hasEnded(task.state_))
            continue;
        task.worker_ = state_.workers_.intern(event.placement_[index]);
        const TaskKey key = entry.taskKey(static_cast<int>(index));
        const auto orphan = state_.orphans_.find(key);
        if (orphan != state_.orphans_.end() && orphan->second.worker_ == task.worker_) {
            task.state_ = stateOf(orphan->second.state_);
            task.accelerators_ = state_.workers_.at(task.worker_).allocations().at(key).accelerators_;
            state_.orphans_.erase(orphan);
            --entry.orphans_;
        }
        allocate(entry, static_cast<int>(index));
    }
    setPhase(entry, JobPhase::Adopting);
    updateTimer(entry);
    advance(entry);
}

void GangStateMachine::cancel(const JobId& id)
{
    JobEntry* entry = state_.findJob(id);
    if (!entry)
        return;
    if (entry->phase_ == JobPhase::Queued) {
        ReservationManager(state_, now_).release(id);
        state_.queue_.remove(*entry);
        finish(*entry, JobState::Cancelled, "cancelled");
        return;
    }
    stop(*entry, AfterStop::Cancel, FailureCause::None, "cancelled");
}

void GangStateMachine::forget(const JobId& id)
{
    JobEntry* entry = state_.findJob(id);
    if (!entry)
        return;
    if (entry->phase_ != JobPhase::Queued) {
        stop(*entry, AfterStop::Forget, FailureCause::None, "taken over by another data centre");
        return;
    }
    ReservationManager(state_, now_).release(id);
    state_.queue_.remove(*entry);
    state_.jobs_.erase(id);
}

void GangStateMachine::place(JobEntry& entry, const Placement& placement)
{
    ReservationManager reservations(state_, now_);
    reservations.release(entry.spec_.id_);
    if (!placement.isBorrowed())
        reservations.releaseBorrowedOn(placement);
    state_.queue_.remove(entry);
    ++entry.attempts_;
    setIsBorrower(entry, placement.isBorrowed());
    entry.tasks_.clear();
    for (const TaskPlace& place : placement.tasks_) {
        GangTask task;
        task.worker_ = place.worker_;
        task.accelerators_ = place.accelerators_;
        task.guaranteedCell_ = place.guaranteedCell_;
        task.checkpointedShare_ = entry.checkpointedShare_;
        entry.tasks_.push_back(task);
    }
    setPhase(entry, JobPhase::Preparing);
    entry.phaseDeadline_ = now_ + prepareTimeout;
    entry.resendAt_ = now_ + resendInterval;
    record(entry, JobState::Placed, {});
    for (int index = 0; index < entry.spec_.tasks_; ++index) {
        allocate(entry, index);
        sendPrepare(entry, index);
    }
    updateTimer(entry);
}

void GangStateMachine::allocate(const JobEntry& entry, int index)
{
    const GangTask& task = entry.tasks_[static_cast<std::size_t>(index)];
    Allocation allocation;
    allocation.accelerators_ = task.accelerators_;
    allocation.processorMillis_ = entry.shape_.processorMillis_;
    allocation.memoryBytes_ = std::max(entry.shape_.memoryBytes_, task.memoryBytes_);
    allocation.guaranteedCell_ = task.guaranteedCell_;
    state_.workers_.allocate(task.worker_, entry.taskKey(index), allocation);
}

void GangStateMachine::preempt(JobEntry& entry, Time deadline, const std::string& reason)
{
    if (entry.phase_ == JobPhase::Stopping)
        return;
    if (entry.phase_ != JobPhase::Running || !entry.spec_.canCheckpoint_ || !entry.spec_.isIdempotent_) {
        stop(entry, AfterStop::Requeue, FailureCause::None, reason);
        return;
    }
    setPhase(entry, JobPhase::Stopping);
    entry.afterStop_ = AfterStop::Requeue;
    entry.failureCause_ = FailureCause::None;
    entry.stopReason_ = reason;
    entry.isCheckpointing_ = true;
    entry.phaseDeadline_ = deadline;
    entry.resendAt_ = now_ + resendInterval;
    resend(entry);
    updateTimer(entry);
}

void GangStateMachine::stop(JobEntry& entry, AfterStop afterStop, FailureCause failureCause, const std::string& reason)
{
    if (entry.phase_ == JobPhase::Queued)
        return;
    const bool isAlreadyStopping = entry.phase_ == JobPhase::Stopping && afterStop == AfterStop::Requeue;
    if (isAlreadyStopping && !entry.isCheckpointing_)
        return;
    if (!isAlreadyStopping) {
        entry.afterStop_ = afterStop;
        entry.failureCause_ = failureCause;
        entry.stopReason_ = reason;
    }
    setPhase(entry, JobPhase::Stopping);
    entry.isCheckpointing_ = false;
    entry.phaseDeadline_ = Time::max();
    entry.resendAt_ = now_ + resendInterval;
    stopLiveTasks(entry);
    updateTimer(entry);
    advance(entry);
}

void GangStateMachine::stopLiveTasks(JobEntry& entry)
{
    for (int index = 0; index < static_cast<int>(entry.tasks_.size()); ++index) {
        const GangTask& task = entry.tasks_[static_cast<std::size_t>(index)];
        if (!hasEnded(task.state_))
            sendStop(entry.taskKey(index), task.worker_);
    }
}

void GangStateMachine::finish(JobEntry& entry, JobState jobState, const std::string& reason)
{
    record(entry, jobState, reason);
    setIsBorrower(entry, false);
    const JobId id = entry.spec_.id_;
    state_.health_.forget(id);
    state_.timers_.reschedule(id, entry.nextTimerAt_, Time::max());
    state_.endedJobs_.insert(id);
    state_.endedJobExpiries_.emplace_back(now_ + endedJobRetention, id);
    state_.jobs_.erase(id);
}

void GangStateMachine::setTaskState(JobEntry& entry, int index, GangTaskState next)
{
    GangTask& task = entry.tasks_[static_cast<std::size_t>(index)];
    if (hasEnded(task.state_))
        return;
    // Late reports of an earlier state are ignored.
    const bool isProgress = next > task.state_;
    if (!isProgress)
        return;
    task.state_ = next;
    if (!hasEnded(next))
        return;
    state_.workers_.release(task.worker_, entry.taskKey(index));
    if (task.guaranteedCell_ != noGuaranteedCell)
        state_.noteGuaranteeChange(entry.spec_.organisation_);
    if (next == GangTaskState::Finished)
        state_.health_.finished(task.worker_, state_.workers_);
    else if (next == GangTaskState::Failed || next == GangTaskState::Refused)
        state_.health_.failed(entry.spec_.id_, task.worker_, state_.workers_, now_);
}

void GangStateMachine::workerLost(int worker)
{
    std::vector<TaskKey> allocated;
    for (const auto& [key, allocation] : state_.workers_.at(worker).allocations())
        allocated.push_back(key);
    ReservationManager(state_, now_).releaseOn(worker);
    state_.workers_.leave(worker);
    state_.bindAt_ = std::min(state_.bindAt_, now_);
    for (const TaskKey& key : allocated) {
        if (state_.orphans_.count(key) > 0) {
            orphanEnded(key);
            continue;
        }
        if (JobEntry* entry = state_.findJob(key.job_))
            setTaskState(*entry, key.index_, GangTaskState::WorkerLost);
    }
    for (const TaskKey& key : allocated) {
        if (JobEntry* entry = state_.findJob(key.job_))
            advance(*entry);
    }
}

void GangStateMachine::workerReported(const WorkerReported& event)
{
    const int worker = state_.workers_.find(event.worker_);
    if (worker < 0)
        return;
    const std::set<TaskKey> reportedTasks(event.tasks_.begin(), event.tasks_.end());
    std::vector<TaskKey> missing;
    for (const auto& [key, allocation] : state_.workers_.at(worker).allocations()) {
        if (reportedTasks.count(key) == 0 && state_.orphans_.count(key) == 0)
            missing.push_back(key);
    }
    for (const TaskKey& key : missing) {
        JobEntry* entry = state_.findJob(key.job_);
        if (!entry || entry->taskKey(key.index_) != key)
            continue;
        GangTask& task = entry->tasks_[static_cast<std::size_t>(key.index_)];
        if (task.state_ == GangTaskState::Unconfirmed) {
            // The worker rejects messages of earlier epochs, so an older prepare can no longer take effect.
            setTaskState(*entry, key.index_, GangTaskState::Stopped);
            advance(*entry);
            continue;
        }
        const bool wasSeen = task.state_ == GangTaskState::Prepared || task.state_ == GangTaskState::Running;
        if (wasSeen && ++task.missedReports_ >= missedReportsUntilLost)
            stop(*entry, AfterStop::Requeue, FailureCause::Worker, "worker " + event.worker_.value() + " no longer knows the task");
    }
}

void GangStateMachine::taskReported(const TaskReported& event)
{
    const int worker = state_.workers_.intern(event.worker_);
    JobEntry* entry = state_.findJob(event.task_.job_);
    const bool isCurrentTask = entry && event.task_.attempt_ == entry->attempts_ && event.task_.index_ >= 0
        && event.task_.index_ < static_cast<int>(entry->tasks_.size())
        && entry->tasks_[static_cast<std::size_t>(event.task_.index_)].worker_ == worker
        && entry->phase_ != JobPhase::Queued;
    if (!isCurrentTask) {
        orphanReported(event, worker);
        return;
    }
    GangTask& task = entry->tasks_[static_cast<std::size_t>(event.task_.index_)];
    if (hasEnded(task.state_)) {
        // The task has ended, so the report is either late or from a worker that runs it against the protocol: stop it again.
        if (isLive(event.state_) && task.state_ != GangTaskState::Finished)
            sendStop(event.task_, worker);
        return;
    }
    updateFromReport(*entry, event.task_.index_, event);
    if (!isWithinMemory(*entry, event))
        return;
    advance(*entry);
}

bool GangStateMachine::isWithinMemory(JobEntry& entry, const TaskReported& event)
{
    GangTask& task = entry.tasks_[static_cast<std::size_t>(event.task_.index_)];
    if (entry.phase_ != JobPhase::Running || task.state_ != GangTaskState::Running || event.memoryBytes_ == task.memoryBytes_)
        return true;
    task.memoryBytes_ = event.memoryBytes_;
    allocate(entry, event.task_.index_);
    const std::int64_t declared = entry.shape_.memoryBytes_;
    const std::int64_t tolerated = declared + declared / memoryToleranceDivisor;
    if (declared == 0 || event.memoryBytes_ <= tolerated)
        return true;
    const bool exceedsWorker = state_.workers_.at(task.worker_).freeMemoryBytes() < 0;
    const bool wasThrottled = task.throttledAt_ != Time::max();
    if (!exceedsWorker && !wasThrottled) {
        task.throttledAt_ = now_;
        state_.actions_.emplace_back(ThrottleTask { event.task_, event.worker_ });
        return true;
    }
    if (!exceedsWorker && now_ < task.throttledAt_ + throttleGracePeriod)
        return true;
    entry.shape_.memoryBytes_ = event.memoryBytes_ + event.memoryBytes_ / memoryToleranceDivisor;
    stop(entry, AfterStop::Requeue, FailureCause::Job, "a task took " + std::to_string(event.memoryBytes_) + " bytes of memory, declared were " + std::to_string(declared));
    return false;
}

void GangStateMachine::updateFromReport(JobEntry& entry, int index, const TaskReported& event)
{
    GangTask& task = entry.tasks_[static_cast<std::size_t>(index)];
    task.missedReports_ = 0;
    task.checkpointedShare_ = std::clamp(std::max(task.checkpointedShare_, event.checkpointedShare_), 0.0, 1.0);
    // An answer to a command of an earlier term confirms the task without naming its accelerators.
    const bool namesAccelerators = task.accelerators_ == 0 && !event.accelerators_.empty();
    if ((task.state_ == GangTaskState::Unconfirmed || namesAccelerators) && isLive(event.state_)) {
        task.accelerators_ = maskOf(event.accelerators_);
        allocate(entry, index);
    }
    if (event.state_ == TaskState::Failed && entry.phase_ != JobPhase::Stopping) {
        entry.failedWorkers_.insert(task.worker_);
        entry.stopReason_ = "task " + std::to_string(index) + " failed on worker " + event.worker_.value() + ": " + event.reason_;
    }
    setTaskState(entry, index, stateOf(event.state_));
}

void GangStateMachine::taskRefused(const TaskRefused& event)
{
    const int worker = state_.workers_.find(event.worker_);
    JobEntry* entry = state_.findJob(event.task_.job_);
    if (worker < 0 || !entry || event.task_.attempt_ != entry->attempts_ || event.task_.index_ < 0
        || event.task_.index_ >= static_cast<int>(entry->tasks_.size()))
        return;
    GangTask& task = entry->tasks_[static_cast<std::size_t>(event.task_.index_)];
    if (task.worker_ != worker || hasEnded(task.state_))
        return;
    // The refusal is of a repeated request or of one of an earlier term: the worker's reports show whether the task is there.
    if (task.state_ == GangTaskState::Unconfirmed || task.state_ == GangTaskState::Prepared || task.state_ == GangTaskState::Running)
        return;
    if (entry->phase_ != JobPhase::Stopping)
        entry->stopReason_ = "worker " + event.worker_.value() + " refused task " + std::to_string(event.task_.index_) + ": " + event.reason_;
    setTaskState(*entry, event.task_.index_, GangTaskState::Refused);
    advance(*entry);
}

void GangStateMachine::advance(JobEntry& entry)
{
    switch (entry.phase_) {
    case JobPhase::Queued:
        return;
    case JobPhase::Adopting:
        advanceAdopting(entry);
        return;
    case JobPhase::Stopping:
        if (allTasks(entry, hasEnded))
            handleGangEnd(entry);
        return;
    case JobPhase::Preparing:
    case JobPhase::Starting:
    case JobPhase::Running:
        break;
    }
    if (anyTask(entry, hasEndedEarly)) {
        const bool isFailure = anyTask(entry, [](GangTaskState state) { return state == GangTaskState::Failed; });
        std::string reason = entry.stopReason_.empty() ? "a task ended early" : entry.stopReason_;
        if (anyTask(entry, [](GangTaskState state) { return state == GangTaskState::WorkerLost; }))
            reason = "a worker of the gang was lost";
        stop(entry, AfterStop::Requeue, isFailure ? FailureCause::JobAndWorker : FailureCause::Worker, reason);
        return;
    }
    if (allTasks(entry, isFinishedTask)) {
        handleGangEnd(entry);
        return;
    }
    if (entry.phase_ == JobPhase::Preparing && allTasks(entry, [](GangTaskState state) { return state >= GangTaskState::Prepared; }))
        startOrWait(entry);
    else if (entry.phase_ == JobPhase::Starting && allTasks(entry, isRunningOrFinished))
        markRunning(entry);
}

void GangStateMachine::advanceAdopting(JobEntry& entry)
{
    if (anyTask(entry, [](GangTaskState state) { return state == GangTaskState::Unconfirmed; }))
        return;
    if (anyTask(entry, hasEndedEarly)) {
        stop(entry, AfterStop::Requeue, FailureCause::Worker, "a task of the gang was gone when the scheduler changed hands");
        return;
    }
    if (allTasks(entry, isRunningOrFinished)) {
        markRunning(entry);
        return;
    }
    // All tasks are present but some were not started: continue where the previous lease holder stopped.
    setPhase(entry, JobPhase::Preparing);
    entry.phaseDeadline_ = now_ + prepareTimeout;
    updateTimer(entry);
    startOrWait(entry);
}

void GangStateMachine::startOrWait(JobEntry& entry)
{
    if (state_.mayStart(now_)) {
        start(entry);
        return;
    }
    state_.awaitingPermit_.insert(entry.spec_.id_);
}

void GangStateMachine::start(JobEntry& entry)
{
    setPhase(entry, JobPhase::Starting);
    entry.phaseDeadline_ = state_.startPermitUntil_ + startConfirmTimeout;
    entry.resendAt_ = now_ + resendInterval;
    entry.wasStartSent_ = true;
    // The previous lease holder may have sent starts once it had recorded them.
    const bool mayHaveBeenSent = entry.recordedState_ != JobState::Placed;
    if (entry.recordedState_ != JobState::Running)
        record(entry, JobState::Prepared, {});
    for (int index = 0; index < static_cast<int>(entry.tasks_.size()); ++index) {
        GangTask& task = entry.tasks_[static_cast<std::size_t>(index)];
        if (task.state_ != GangTaskState::Prepared)
            continue;
        task.state_ = GangTaskState::StartSent;
        state_.actions_.emplace_back(StartTask { entry.taskKey(index), state_.workers_.at(task.worker_).id(), state_.startPermitUntil_, mayHaveBeenSent });
    }
    updateTimer(entry);
}

void GangStateMachine::markRunning(JobEntry& entry)
{
    setPhase(entry, JobPhase::Running);
    entry.phaseDeadline_ = Time::max();
    entry.resendAt_ = Time::max();
    const bool wasAdopted = entry.recordedState_ == JobState::Running;
    entry.startedAt_ = now_;
    entry.shareAtStart_ = entry.checkpointedShare_;
    if (wasAdopted)
        state_.bindAt_ = std::min(state_.bindAt_, now_ + bindDelay);
    entry.stopReason_.clear();
    updateTimer(entry);
    record(entry, JobState::Running, {});
    if (allTasks(entry, isFinishedTask))
        handleGangEnd(entry);
}

void GangStateMachine::handleGangEnd(JobEntry& entry)
{
    entry.checkpointedShare_ = std::max(entry.checkpointedShare_, commonCheckpointedShare(entry));
    const bool isCheckpointed = entry.phase_ == JobPhase::Stopping && allTasks(entry, [](GangTaskState state) { return state == GangTaskState::Checkpointed || state == GangTaskState::Finished; });
    setPhase(entry, JobPhase::Stopping);
    if (allTasks(entry, isFinishedTask)) {
        state_.estimator_.finished(entry, now_ - entry.startedAt_);
        finish(entry, JobState::Finished, {});
        return;
    }
    if (entry.afterStop_ == AfterStop::Forget) {
        const JobId id = entry.spec_.id_;
        setIsBorrower(entry, false);
        state_.health_.forget(id);
        state_.timers_.reschedule(id, entry.nextTimerAt_, Time::max());
        state_.jobs_.erase(id);
        return;
    }
    if (entry.afterStop_ == AfterStop::Cancel) {
        finish(entry, JobState::Cancelled, entry.stopReason_);
        return;
    }
    if (!entry.spec_.isIdempotent_ && entry.wasStartSent_) {
        const bool isUnknown = anyTask(entry, [](GangTaskState state) { return state == GangTaskState::WorkerLost; });
        finish(entry, isUnknown ? JobState::Unknown : JobState::Failed, entry.stopReason_ + "; not idempotent, so it is not started again");
        return;
    }
    if (entry.afterStop_ == AfterStop::Fail) {
        finish(entry, JobState::Failed, entry.stopReason_);
        return;
    }
    if (entry.failureCause_ == FailureCause::Job || entry.failureCause_ == FailureCause::JobAndWorker)
        ++entry.failures_;
    entry.interruptions_ = entry.failureCause_ == FailureCause::Worker ? entry.interruptions_ + 1 : 0;
    if (entry.failures_ >= state_.configuration_.policy_.maxAttempts_) {
        finish(entry, JobState::Failed, "failed " + std::to_string(entry.failures_) + " times, last: " + entry.stopReason_);
        return;
    }
    if (entry.interruptions_ >= maxConsecutiveInterruptions) {
        finish(entry, JobState::Failed, "disturbed " + std::to_string(entry.interruptions_) + " times in a row, last: " + entry.stopReason_);
        return;
    }
    record(entry, isCheckpointed ? JobState::Checkpointed : JobState::Queued, entry.stopReason_);
    requeue(entry);
}

void GangStateMachine::requeue(JobEntry& entry)
{
    setIsBorrower(entry, false);
    setPhase(entry, JobPhase::Queued);
    entry.queuedAt_ = now_;
    entry.fitsAtVersion_ = 0;
    entry.tasks_.clear();
    entry.isCheckpointing_ = false;
    entry.phaseDeadline_ = Time::max();
    entry.resendAt_ = Time::max();
    updateTimer(entry);
    state_.queue_.add(entry);
}

void GangStateMachine::permitExtended()
{
    if (!state_.mayStart(now_))
        return;
    const std::set<JobId> waiting = state_.awaitingPermit_;
    for (const JobId& id : waiting) {
        if (JobEntry* entry = state_.findJob(id))
            advance(*entry);
    }
}

void GangStateMachine::tick()
{
    while (const auto id = state_.timers_.takeDue(now_)) {
        JobEntry* entry = state_.findJob(*id);
        if (!entry)
            continue;
        entry->nextTimerAt_ = Time::max();
        handleJobTimer(*entry);
    }
    stopDueOrphans();
    expireEndedJobs();
}

void GangStateMachine::handleJobTimer(JobEntry& entry)
{
    if (entry.phaseDeadline_ <= now_) {
        entry.phaseDeadline_ = Time::max();
        const bool isWaiting = state_.awaitingPermit_.count(entry.spec_.id_) > 0;
        if (entry.phase_ == JobPhase::Preparing)
            stop(entry, AfterStop::Requeue, isWaiting ? FailureCause::None : FailureCause::Worker, isWaiting ? "no start permit in time" : "not every task was prepared in time");
        else if (entry.phase_ == JobPhase::Starting)
            stop(entry, AfterStop::Requeue, FailureCause::Worker, "not every task confirmed its start in time");
        else if (entry.phase_ == JobPhase::Stopping)
            stop(entry, AfterStop::Requeue, FailureCause::None, entry.stopReason_);
        return;
    }
    if (entry.resendAt_ <= now_) {
        entry.resendAt_ = now_ + resendInterval;
        resend(entry);
    }
    updateTimer(entry);
}

void GangStateMachine::resend(JobEntry& entry)
{
    if (entry.phase_ == JobPhase::Stopping && !entry.isCheckpointing_) {
        stopLiveTasks(entry);
        return;
    }
    for (int index = 0; index < static_cast<int>(entry.tasks_.size()); ++index) {
        const GangTask& task = entry.tasks_[static_cast<std::size_t>(index)];
        if (hasEnded(task.state_))
            continue;
        const WorkerId& worker = state_.workers_.at(task.worker_).id();
        if (entry.phase_ == JobPhase::Stopping)
            state_.actions_.emplace_back(CheckpointTask { entry.taskKey(index), worker, entry.phaseDeadline_ });
        else if (task.state_ == GangTaskState::PrepareSent)
            sendPrepare(entry, index);
        else if (task.state_ == GangTaskState::StartSent && state_.mayStart(now_))
            state_.actions_.emplace_back(StartTask { entry.taskKey(index), worker, state_.startPermitUntil_, true });
    }
    if (entry.phase_ == JobPhase::Starting && state_.mayStart(now_))
        entry.phaseDeadline_ = std::max(entry.phaseDeadline_, state_.startPermitUntil_ + startConfirmTimeout);
}

void GangStateMachine::setPhase(JobEntry& entry, JobPhase phase)
{
    state_.gangsStarting_ += static_cast<int>(isStarting(phase)) - static_cast<int>(isStarting(entry.phase_));
    if (phase != JobPhase::Preparing)
        state_.awaitingPermit_.erase(entry.spec_.id_);
    entry.phase_ = phase;
}

void GangStateMachine::setIsBorrower(JobEntry& entry, bool isBorrower)
{
    if (entry.isBorrower_ == isBorrower)
        return;
    entry.isBorrower_ = isBorrower;
    const std::int64_t units = capacityUnitsOf(entry.spec_.shape_) * entry.spec_.tasks_;
    std::int64_t& borrowed = state_.borrowedUnits_[entry.spec_.organisation_];
    borrowed += isBorrower ? units : -units;
}

void GangStateMachine::chargeToCells(JobEntry& entry, const std::vector<int>& cells)
{
    for (std::size_t index = 0; index < entry.tasks_.size(); ++index) {
        GangTask& task = entry.tasks_[index];
        task.guaranteedCell_ = cells.empty() ? noGuaranteedCell : cells[index];
        if (!hasEnded(task.state_))
            allocate(entry, static_cast<int>(index));
    }
    setIsBorrower(entry, cells.empty());
}

void GangStateMachine::updateTimer(JobEntry& entry)
{
    const Time next = std::min(entry.phaseDeadline_, entry.resendAt_);
    state_.timers_.reschedule(entry.spec_.id_, entry.nextTimerAt_, next);
    entry.nextTimerAt_ = next;
}

void GangStateMachine::record(JobEntry& entry, JobState jobState, const std::string& reason)
{
    const bool isRecorded = entry.recordedState_ == jobState && (jobState == JobState::Prepared || jobState == JobState::Running);
    if (isRecorded)
        return;
    entry.recordedState_ = jobState;
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

void GangStateMachine::sendPrepare(const JobEntry& entry, int index)
{
    const GangTask& task = entry.tasks_[static_cast<std::size_t>(index)];
    state_.actions_.emplace_back(PrepareTask { entry.taskKey(index), state_.workers_.at(task.worker_).id(), positionsOf(task.accelerators_), entry.shape_ });
}

void GangStateMachine::sendStop(const TaskKey& key, int worker)
{
    state_.actions_.emplace_back(StopTask { key, state_.workers_.at(worker).id() });
}

}
