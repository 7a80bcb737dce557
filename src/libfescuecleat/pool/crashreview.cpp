#include "pool/crashreview.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Workers that fall silent within this time of each other may have a common cause. */
    constexpr Duration commonCauseWindow = std::chrono::milliseconds(500);
    /** So many of them, or such a share, on which nothing was starting show a common cause. */
    constexpr int minUnexplained = 2;
    constexpr double minUnexplainedShare = 0.25;
    /** A task that may have crashed this many workers by its start, the last one alone, is given up. */
    constexpr int maxCrashesAtStart = 2;
    /** These must be of as many machines, as a machine may be the cause as well. */
    constexpr std::size_t minMachines = 2;
    /** A task is given up after this many crashes, whatever else may have caused them. */
    constexpr int maxCrashes = 4;
    /** For this long after a crash of another cause, one more crash at the start is needed. */
    constexpr Duration unrelatedCrashMemory = std::chrono::seconds(60);
    /** Silent workers are remembered until there are this many. */
    constexpr std::size_t maxLapsedWorkers = 1000;

}

CrashReview::CrashReview(PoolState& state, Time now)
    : state_(state)
    , now_(now)
{
}

std::vector<TaskId> CrashReview::workerCrashed(const WorkerKey& key)
{
    PoolWorkerState* const worker = state_.findWorker(key);
    if (worker == nullptr || worker->info_.isDraining_)
        return {};
    if (!worker->silentSince_)
        state_.noteSilence(*worker, now_);
    return count(interruptionOf(*worker));
}

void CrashReview::workerLapsed(const WorkerKey& key)
{
    const PoolWorkerState* const worker = state_.findWorker(key);
    if (worker == nullptr || worker->info_.isDraining_)
        return;
    WorkerCrash lapsed = interruptionOf(*worker);
    if (lapsed.runs_.empty())
        return;
    state_.lapsedWorkers_.push_back(std::move(lapsed));
    if (state_.lapsedWorkers_.size() > maxLapsedWorkers)
        state_.lapsedWorkers_.pop_front();
}

std::vector<TaskId> CrashReview::workerAppeared(const WorkerInfo& info)
{
    std::vector<TaskId> deadly;
    for (auto it = state_.lapsedWorkers_.begin(); it != state_.lapsedWorkers_.end();) {
        const bool isSameMachine = !info.machine_.empty() && it->machine_ == info.machine_;
        if ((it->worker_.id_ != info.key_.id_ && !isSameMachine) || it->worker_.startedUnixMs_ >= info.key_.startedUnixMs_) {
            ++it;
            continue;
        }
        const std::vector<TaskId> found = count(std::move(*it));
        deadly.insert(deadly.end(), found.begin(), found.end());
        it = state_.lapsedWorkers_.erase(it);
    }
    return deadly;
}

WorkerCrash CrashReview::interruptionOf(const PoolWorkerState& worker) const
{
    WorkerCrash crash;
    crash.worker_ = worker.info_.key_;
    crash.machine_ = worker.machine();
    crash.silentSince_ = worker.silentSince_.value_or(now_);
    for (const RunId& id : worker.runs_) {
        const TaskRun& run = state_.runs_.at(id);
        if (run.mayHaveBeenInterrupted(crash.silentSince_, worker.lastReportRequestedAt_))
            crash.runs_.push_back({ id, run.unit_, run.startedAt_, run.startConfirmedAt_.has_value(), run.hasSurvivedStart_ });
    }
    return crash;
}

bool CrashReview::hasOtherCause(Time silentSince) const
{
    int silent = 0;
    int unexplained = 0;
    for (const WorkerSilence& silence : state_.silences_) {
        if (silence.since_ + commonCauseWindow < silentSince || silentSince + commonCauseWindow < silence.since_)
            continue;
        ++silent;
        unexplained += silence.hasStartingRun_ ? 0 : 1;
    }
    return unexplained >= minUnexplained || (unexplained > 0 && unexplained >= minUnexplainedShare * silent);
}

bool CrashReview::isDeadly(const TaskCrashes& crashes, bool isOnlySuspect) const
{
    const int limit = maxCrashesAtStart + (now_ < state_.unrelatedCrashesUntil_ ? 1 : 0);
    return crashes.total_ >= maxCrashes || (isOnlySuspect && crashes.atStart_ >= limit && crashes.machines_.size() >= minMachines);
}

std::vector<TaskId> CrashReview::count(WorkerCrash crash)
{
    crash.hasOtherCause_ = hasOtherCause(crash.silentSince_);
    std::set<std::string> startingJobs;
    bool hasProbe = false;
    for (const InterruptedRun& run : crash.runs_) {
        if (run.hasSurvivedStart_)
            continue;
        startingJobs.insert(run.run_.task_.job_);
        const Job* const job = state_.findJob(run.run_.task_.job_);
        const WorkUnit* const unit = job == nullptr ? nullptr : job->progress_.find(run.unit_);
        hasProbe = hasProbe || (unit != nullptr && unit->isSuspect());
    }
    if (startingJobs.empty() || crash.hasOtherCause_)
        state_.unrelatedCrashesUntil_ = now_ + unrelatedCrashMemory;
    std::vector<TaskId> deadly;
    for (const InterruptedRun& run : crash.runs_) {
        const TaskId& task = run.run_.task_;
        Job* const job = state_.findJob(task.job_);
        // A suspected task explains the crash, so those at work beside it are not to blame.
        if (job == nullptr || !job->isOpen() || (run.hasSurvivedStart_ && hasProbe))
            continue;
        WorkUnit* const unit = job->progress_.find(run.unit_);
        if (unit == nullptr)
            continue; // another run of it has ended well since
        TaskCrashes& crashes = unit->crashes_[task.index_];
        // A run whose start may still be executed moves with its worker from one incarnation to the next.
        if (!run.isConfirmed_ && run.run_.number_ <= crashes.lastRun_)
            continue;
        crashes.lastRun_ = std::max(crashes.lastRun_, run.run_.number_);
        ++crashes.total_;
        crashes.longestRun_ = std::max(crashes.longestRun_, crash.silentSince_ - run.startedAt_);
        const bool isSuspect = !run.hasSurvivedStart_ && !crash.hasOtherCause_;
        if (isSuspect) {
            crashes.atStart_ += run.isConfirmed_ ? 1 : 0;
            crashes.machines_.insert(crash.machine_);
        }
        state_.decisions_.changedJobs_.insert(task.job_);
        if (isDeadly(crashes, isSuspect && startingJobs.size() == 1))
            deadly.push_back(task);
    }
    state_.decisions_.crashes_.push_back(std::move(crash));
    return deadly;
}

}
