#include "scheduler/healthledger.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Distinct jobs that have to fail on a worker, without a success, to put it in quarantine. */
    constexpr std::size_t suspectsForQuarantine = 3;
    /** Distinct workers on which a job has to fail to be the likelier cause. */
    constexpr std::size_t workersForJobBlame = 2;
    constexpr Duration firstQuarantine = std::chrono::minutes(5);
    constexpr int maxDoublings = 4;
    /** Part of the workers that may be in quarantine at once, as a divisor. */
    constexpr int quarantineDivisor = 4;

}

void HealthLedger::failed(const JobId& job, int worker, WorkerTable& workers, Time now)
{
    std::set<int>& places = failedOn_[job];
    places.insert(worker);
    if (places.size() >= workersForJobBlame) {
        for (const int place : places)
            workers_[place].suspects_.erase(job);
        return;
    }
    Health& health = workers_[worker];
    health.suspects_.insert(job);
    const bool isOnProbation = workers.at(worker).trust() == WorkerTrust::Probation;
    if (isOnProbation || health.suspects_.size() >= suspectsForQuarantine)
        quarantine(worker, health, workers, now);
}

void HealthLedger::quarantine(int worker, Health& health, WorkerTable& workers, Time now)
{
    int present = 0;
    int quarantined = 0;
    for (int index = 0; index < workers.size(); ++index) {
        present += static_cast<int>(workers.at(index).isPresent());
        quarantined += static_cast<int>(workers.at(index).isPresent() && workers.at(index).trust() == WorkerTrust::Quarantined);
    }
    if (workers.at(worker).trust() == WorkerTrust::Quarantined || (quarantined + 1) * quarantineDivisor > present)
        return;
    health.suspects_.clear();
    health.quarantinedUntil_ = now + firstQuarantine * (1 << std::min(health.quarantines_, maxDoublings));
    ++health.quarantines_;
    workers.setTrust(worker, WorkerTrust::Quarantined);
}

void HealthLedger::finished(int worker, WorkerTable& workers)
{
    const auto health = workers_.find(worker);
    if (health != workers_.end())
        health->second.suspects_.clear();
    if (workers.at(worker).trust() != WorkerTrust::Probation)
        return;
    workers.setTrust(worker, WorkerTrust::Trusted);
    workers_.erase(worker);
}

void HealthLedger::forget(const JobId& job)
{
    failedOn_.erase(job);
}

void HealthLedger::releaseDue(WorkerTable& workers, Time now)
{
    for (auto& [worker, health] : workers_) {
        if (health.quarantinedUntil_ > now)
            continue;
        health.quarantinedUntil_ = Time::max();
        workers.setTrust(worker, WorkerTrust::Probation);
    }
}

Time HealthLedger::nextRelease() const
{
    Time next = Time::max();
    for (const auto& [worker, health] : workers_)
        next = std::min(next, health.quarantinedUntil_);
    return next;
}

}
