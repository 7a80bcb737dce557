#include "scheduler/gangmachine.h"

#include "scheduler/schedulerlimits.h"

namespace fescuecleat {

void GangMachine::strayReported(const TaskReported& event, int worker)
{
    const TaskKey& key = event.task_;
    const bool isLive = event.state_ == TaskState::Prepared || event.state_ == TaskState::Running;
    const auto known = state_.strays_.find(key);
    if (!isLive) {
        if (known != state_.strays_.end() && known->second.worker_ == worker)
            strayEnded(key);
        return;
    }
    if (known != state_.strays_.end()) {
        if (event.state_ == TaskState::Running)
            known->second.state_ = event.state_;
        return;
    }
    // An attempt is followed by another only after it certainly ended, so a
    // live report of a known job's other attempt is late; so is one of an ended job.
    if (state_.findJob(key.job_) || state_.ended_.count(key.job_) > 0) {
        sendStop(key, worker);
        return;
    }
    state_.strays_[key] = StrayTask { worker, event.state_, now_ + strayTime };
    Holding holding;
    holding.accelerators_ = maskOf(event.accelerators_);
    holding.memoryBytes_ = event.memoryBytes_;
    state_.workers_.hold(worker, key, holding);
}

void GangMachine::strayEnded(const TaskKey& key)
{
    const auto stray = state_.strays_.find(key);
    state_.workers_.release(stray->second.worker_, key);
    state_.strays_.erase(stray);
    JobEntry* entry = state_.findJob(key.job_);
    if (!entry)
        return;
    const bool isQueued = entry->phase_ == JobPhase::Queued;
    if (isQueued)
        state_.queue_.remove(*entry);
    --entry->strays_;
    if (isQueued)
        state_.queue_.add(*entry);
}

void GangMachine::stopDueStrays()
{
    for (auto& [key, stray] : state_.strays_) {
        if (stray.stopAt_ > now_)
            continue;
        sendStop(key, stray.worker_);
        stray.stopAt_ = now_ + resendTime;
    }
}

void GangMachine::forgetEndedJobs()
{
    while (!state_.endedInOrder_.empty() && state_.endedInOrder_.front().first <= now_) {
        state_.ended_.erase(state_.endedInOrder_.front().second);
        state_.endedInOrder_.pop_front();
    }
}

}
