#include "scheduler/gangstatemachine.h"

#include "scheduler/schedulerlimits.h"

namespace fescuecleat {

void GangStateMachine::orphanReported(const TaskReported& event, int worker)
{
    const TaskKey& key = event.task_;
    const bool isLive = event.state_ == TaskState::Prepared || event.state_ == TaskState::Running;
    const auto known = state_.orphans_.find(key);
    if (!isLive) {
        if (known != state_.orphans_.end() && known->second.worker_ == worker)
            orphanEnded(key);
        return;
    }
    if (known != state_.orphans_.end()) {
        if (event.state_ == TaskState::Running)
            known->second.state_ = event.state_;
        // The first report may be older than the task's usage.
        Allocation allocation = state_.workers_.at(known->second.worker_).allocations().at(key);
        if (known->second.worker_ == worker && event.memoryBytes_ > allocation.memoryBytes_) {
            allocation.memoryBytes_ = event.memoryBytes_;
            state_.workers_.allocate(worker, key, allocation);
        }
        return;
    }
    // A new attempt starts only after the previous one has ended, so a live
    // report for another attempt of a known job, or for an ended job, is late.
    if (state_.findJob(key.job_) || state_.endedJobs_.count(key.job_) > 0) {
        sendStop(key, worker);
        return;
    }
    state_.orphans_[key] = OrphanTask { worker, event.state_, now_ + orphanGracePeriod };
    Allocation allocation;
    allocation.accelerators_ = maskOf(event.accelerators_);
    allocation.memoryBytes_ = event.memoryBytes_;
    state_.workers_.allocate(worker, key, allocation);
}

void GangStateMachine::orphanEnded(const TaskKey& key)
{
    const auto orphan = state_.orphans_.find(key);
    state_.workers_.release(orphan->second.worker_, key);
    state_.orphans_.erase(orphan);
    JobEntry* entry = state_.findJob(key.job_);
    if (!entry)
        return;
    const bool isQueued = entry->phase_ == JobPhase::Queued;
    if (isQueued)
        state_.queue_.remove(*entry);
    --entry->orphans_;
    if (isQueued)
        state_.queue_.add(*entry);
}

void GangStateMachine::stopDueOrphans()
{
    for (auto& [key, orphan] : state_.orphans_) {
        if (orphan.stopAt_ > now_)
            continue;
        sendStop(key, orphan.worker_);
        orphan.stopAt_ = now_ + resendInterval;
    }
}

void GangStateMachine::expireEndedJobs()
{
    while (!state_.endedJobExpiries_.empty() && state_.endedJobExpiries_.front().first <= now_) {
        state_.endedJobs_.erase(state_.endedJobExpiries_.front().second);
        state_.endedJobExpiries_.pop_front();
    }
}

}
