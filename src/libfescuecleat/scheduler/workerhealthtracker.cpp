#include "scheduler/workerhealthtracker.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Distinct jobs that have to fail on a worker, without a success in between, before it is quarantined. */
    constexpr std::size_t failedJobsForQuarantine = 3;
    /** Distinct workers on which a job has to fail before the failures are attributed to the job. */
    constexpr std::size_t failedWorkersForJobFault = 2;
    constexpr Duration initialQuarantine = std::chrono::minutes(5);
    constexpr int maxQuarantineDoublings = 4;
    /** At most one worker in this many may be quarantined at once. */
    constexpr int maxQuarantinedDivisor = 4;

}

void WorkerHealthTracker::failed(const JobId& job, int worker, WorkerTable& workers, Time now)
{
    std::set<int>& failedWorkers = failedWorkers_[job];
    failedWorkers.insert(worker);
    if (failedWorkers.size() >= failedWorkersForJobFault) {
        for (const int failedWorker : failedWorkers)
            workers_[failedWorker].failedJobs_.erase(job);
        return;
    }
    FailureHistory& history = workers_[worker];
    history.failedJobs_.insert(job);
    const bool isOnProbation = workers.at(worker).health() == WorkerHealth::Probation;
    if (isOnProbation || history.failedJobs_.size() >= failedJobsForQuarantine)
        quarantine(worker, history, workers, now);
}

void WorkerHealthTracker::quarantine(int worker, FailureHistory& history, WorkerTable& workers, Time now)
{
    int present = 0;
    int quarantined = 0;
    for (int index = 0; index < workers.size(); ++index) {
        present += static_cast<int>(workers.at(index).isPresent());
        quarantined += static_cast<int>(workers.at(index).isPresent() && workers.at(index).health() == WorkerHealth::Quarantined);
    }
    if (workers.at(worker).health() == WorkerHealth::Quarantined || (quarantined + 1) * maxQuarantinedDivisor > present)
        return;
    history.failedJobs_.clear();
    history.quarantinedUntil_ = now + initialQuarantine * (1 << std::min(history.consecutiveQuarantines_, maxQuarantineDoublings));
    ++history.consecutiveQuarantines_;
    workers.setHealth(worker, WorkerHealth::Quarantined);
}

void WorkerHealthTracker::finished(int worker, WorkerTable& workers)
{
    const auto history = workers_.find(worker);
    if (history != workers_.end())
        history->second.failedJobs_.clear();
    if (workers.at(worker).health() != WorkerHealth::Probation)
        return;
    workers.setHealth(worker, WorkerHealth::Healthy);
    workers_.erase(worker);
}

void WorkerHealthTracker::forget(const JobId& job)
{
    failedWorkers_.erase(job);
}

void WorkerHealthTracker::releaseDue(WorkerTable& workers, Time now)
{
    for (auto& [worker, history] : workers_) {
        if (history.quarantinedUntil_ > now)
            continue;
        history.quarantinedUntil_ = Time::max();
        workers.setHealth(worker, WorkerHealth::Probation);
    }
}

Time WorkerHealthTracker::nextRelease() const
{
    Time next = Time::max();
    for (const auto& [worker, history] : workers_)
        next = std::min(next, history.quarantinedUntil_);
    return next;
}

}
