#include "pool/poolstate.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Crashed workers are expected back within this time. */
    constexpr Duration silenceMemory = std::chrono::seconds(60);

}

Job* PoolState::findJob(const std::string& id)
{
    const auto job = jobs_.find(id);
    return job == jobs_.end() ? nullptr : &job->second;
}

PoolWorkerState* PoolState::findWorker(const WorkerKey& key)
{
    const auto worker = workers_.find(key);
    return worker == workers_.end() ? nullptr : &worker->second;
}

void PoolState::noteSilence(PoolWorkerState& worker, Time since)
{
    worker.silentSince_ = since;
    if (worker.info_.isDraining_)
        return;
    const bool hasStartingRun = std::any_of(worker.startingRuns_.begin(), worker.startingRuns_.end(), [&](const RunId& run) { return runs_.at(run).mayHaveBeenInterrupted(since, worker.lastReportRequestedAt_); });
    silences_.push_back({ since, hasStartingRun });
    while (silences_.front().since_ + silenceMemory < since)
        silences_.pop_front();
}

void PoolState::noteSurvivedStart(const RunId& run, TaskRun& taskRun)
{
    taskRun.hasSurvivedStart_ = true;
    if (PoolWorkerState* worker = findWorker(taskRun.worker_)) {
        worker->startingRuns_.erase(run);
        worker->probes_.erase(run);
    }
}

bool PoolState::isAtWorkSince(WorkUnit& unit, Time time) const
{
    if (static_cast<int>(unit.openRuns_.size()) != unit.taskCount_)
        return false;
    // Goes on where the last call ended, as each member of a large gang asks.
    auto next = unit.openRuns_.begin();
    if (unit.confirmedAt_)
        next = unit.firstUnconfirmed_ ? unit.openRuns_.find(*unit.firstUnconfirmed_) : unit.openRuns_.end();
    unit.confirmedAt_ = unit.confirmedAt_.value_or(Time::min());
    unit.firstUnconfirmed_.reset();
    for (; next != unit.openRuns_.end(); ++next) {
        const TaskRun& run = runs_.at(*next);
        if (run.phase_ != RunPhase::Running || !run.startConfirmedAt_) {
            unit.firstUnconfirmed_ = *next;
            return false;
        }
        unit.confirmedAt_ = std::max(*unit.confirmedAt_, *run.startConfirmedAt_);
    }
    return *unit.confirmedAt_ <= time;
}

void PoolState::place(Job& job, UnitId id, const std::vector<PoolWorkerState*>& workers, Time now)
{
    WorkUnit& unit = job.progress_.start(id);
    const Resources allocation = job.step(unit).allocation();
    ++unit.lastRun_;
    job.progress_.setState(id, UnitState::Active, now);
    unit.isRunAborted_ = false;
    unit.startedAt_ = now;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        const int index = id.isGang() ? static_cast<int>(i) : id.index_;
        const RunId run { { job.id_, id.occurrence_, id.step_, index }, unit.lastRun_ };
        TaskRun taskRun;
        taskRun.worker_ = workers[i]->info_.key_;
        workers[i]->health_.runStarted(now);
        taskRun.resources_ = allocation;
        taskRun.unit_ = id;
        taskRun.startedAt_ = now;
        addRun(run, taskRun, job);
        decisions_.starts_.push_back({ run, taskRun.worker_, unit.checkpoint_ });
    }
    if (job.state_ == PoolJobState::Queued)
        job.state_ = PoolJobState::Running;
    decisions_.changedJobs_.insert(job.id_);
}

void PoolState::addRun(const RunId& run, TaskRun taskRun, Job& job)
{
    taskRun.isLasting_ = job.step(taskRun.unit_.step_).isLongRunning_;
    PoolWorkerState& worker = workers_[taskRun.worker_];
    worker.addAllocation(taskRun);
    worker.runs_.insert(run);
    if (!taskRun.hasSurvivedStart_) {
        worker.startingRuns_.insert(run);
        if (job.unit(taskRun.unit_).isSuspect())
            worker.probes_.insert(run);
    }
    job.unit(taskRun.unit_).openRuns_.insert(run);
    ++runsByOrganisation_[job.policy_.organisation_];
    usage_.add(job.policy_.organisation_, job.step(taskRun.unit_.step_).resources_);
    if (taskRun.isLasting_)
        usage_.addLasting(job.policy_.organisation_, job.step(taskRun.unit_.step_).resources_);
    if (job.policy_.priority_ == 0)
        urgentAccelerators_ += taskRun.resources_.accelerators_;
    runs_.emplace(run, taskRun);
}

void PoolState::stopRun(const RunId& run, TaskRun& taskRun, const std::string& cause, Time now)
{
    if (taskRun.phase_ == RunPhase::Stopping)
        return;
    PoolWorkerState* const worker = findWorker(taskRun.worker_);
    if (worker != nullptr)
        worker->removeAllocation(taskRun);
    taskRun.phase_ = RunPhase::Stopping;
    taskRun.acknowledgedAt_.reset();
    taskRun.stopRequestedAt_ = now;
    if (worker != nullptr)
        worker->addAllocation(taskRun);
    decisions_.stops_.push_back({ run, taskRun.worker_, cause });
}

void PoolState::rebindRun(const RunId& run, TaskRun& taskRun, const WorkerKey& key, Time now)
{
    Job* const job = findJob(run.task_.job_);
    if (job != nullptr)
        job->unit(taskRun.unit_).confirmedAt_.reset();
    if (PoolWorkerState* former = findWorker(taskRun.worker_)) {
        former->removeAllocation(taskRun);
        former->runs_.erase(run);
        former->startingRuns_.erase(run);
        former->probes_.erase(run);
    }
    taskRun.worker_ = key;
    taskRun.hasSurvivedStart_ = false;
    taskRun.startConfirmedAt_.reset();
    PoolWorkerState& current = workers_[key];
    current.addAllocation(taskRun);
    current.runs_.insert(run);
    current.startingRuns_.insert(run);
    if (job != nullptr && job->unit(taskRun.unit_).isSuspect())
        current.probes_.insert(run);
    if (taskRun.phase_ == RunPhase::Stopping) {
        // The new incarnation doesn't know of a stop that the former one confirmed.
        taskRun.acknowledgedAt_.reset();
        taskRun.stopRequestedAt_ = now;
        decisions_.stops_.push_back({ run, key, "its worker restarted" });
    }
    decisions_.changedJobs_.insert(run.task_.job_);
}

void PoolState::stopUnit(Job& job, UnitId id, const std::string& cause, Time now)
{
    WorkUnit& unit = job.unit(id);
    unit.isRunAborted_ = true;
    unit.confirmedAt_.reset();
    for (const RunId& run : std::set<RunId>(unit.openRuns_)) {
        const auto entry = runs_.find(run);
        if (entry == runs_.end())
            continue;
        if (entry->second.phase_ == RunPhase::Recording)
            releaseRun(run, now);
        else
            stopRun(run, entry->second, cause, now);
    }
    decisions_.changedJobs_.insert(job.id_);
}

void PoolState::eraseWorkerIfGone(const WorkerKey& key)
{
    const auto worker = workers_.find(key);
    // Its runs without a record count until it reports their ends or its lease has expired.
    if (worker != workers_.end() && !worker->second.isListed_ && worker->second.runs_.empty() && worker->second.unrecordedRuns_.empty())
        workers_.erase(worker);
}

void PoolState::releaseRun(const RunId& run, Time now)
{
    const auto entry = runs_.find(run);
    if (entry == runs_.end())
        return;
    const TaskRun taskRun = entry->second;
    runs_.erase(entry);
    if (PoolWorkerState* worker = findWorker(taskRun.worker_)) {
        worker->removeAllocation(taskRun);
        worker->runs_.erase(run);
        worker->startingRuns_.erase(run);
        worker->probes_.erase(run);
        eraseWorkerIfGone(taskRun.worker_);
    }
    Job* job = findJob(run.task_.job_);
    if (job == nullptr)
        return;
    if (job->policy_.priority_ == 0)
        urgentAccelerators_ -= taskRun.resources_.accelerators_;
    if (--runsByOrganisation_[job->policy_.organisation_] == 0)
        runsByOrganisation_.erase(job->policy_.organisation_);
    usage_.subtract(job->policy_.organisation_, job->step(taskRun.unit_.step_).resources_);
    if (taskRun.isLasting_)
        usage_.subtractLasting(job->policy_.organisation_, job->step(taskRun.unit_.step_).resources_);
    WorkUnit& unit = job->unit(taskRun.unit_);
    unit.openRuns_.erase(run);
    unit.confirmedAt_.reset();
    if (unit.openRuns_.empty() && unit.state_ == UnitState::Active) {
        job->progress_.setState(taskRun.unit_, UnitState::Waiting, now);
        unit.waitingSince_ = now;
    }
    job->progress_.dropDone(taskRun.unit_);
    decisions_.changedJobs_.insert(job->id_);
}

}
