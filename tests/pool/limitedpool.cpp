#include "pool/limitedpool.h"

#include <cstdio>
#include <utility>

namespace fescuecleat {

LimitedPool::LimitedPool(int workers)
{
    for (int i = 0; i < workers; ++i) {
        scheduler_.putWorker(workerInfo(i), now_);
        scheduler_.setReachable(workerKey(i));
    }
}

WorkerInfo LimitedPool::workerInfo(int index)
{
    WorkerInfo info;
    info.key_ = workerKey(index);
    info.service_ = "service";
    info.rack_ = "r" + std::to_string(index / 4);
    info.capacity_ = { 64000, 64000, 8 };
    return info;
}

StepSpec LimitedPool::step(int tasks, std::int64_t accelerators, bool isGang)
{
    StepSpec step;
    step.taskCount_ = tasks;
    step.resources_ = { 1000, 1000, accelerators };
    step.estimate_ = std::chrono::seconds(5);
    step.isGang_ = isGang;
    return step;
}

std::string LimitedPool::submit(const StepSpec& step, const std::string& organisation, int priority)
{
    PoolJobSpec spec;
    spec.steps_.push_back(step);
    JobPolicy policy;
    policy.service_ = "service";
    policy.organisation_ = organisation;
    policy.priority_ = priority;
    policy.maxAttempts_ = 3;
    policy.stretch_ = 3;
    policy.latencyTarget_ = std::chrono::seconds(1);
    char id[17];
    std::snprintf(id, sizeof id, "%016x", nextJob_++);
    scheduler_.addJob(id, spec, policy, now_, nullptr, now_);
    return id;
}

void LimitedPool::restore(const std::string& id, const LimitedPool& former)
{
    const Job& job = former.scheduler_.state().jobs_.at(id);
    const PoolJobRecord record = former.scheduler_.record(id);
    scheduler_.addJob(id, job.spec_, job.policy_, job.submittedAt_, &record, now_);
}

std::vector<StartDecision> LimitedPool::place()
{
    now_ += std::chrono::milliseconds(10);
    scheduler_.schedule(now_, 0);
    Decisions decisions = scheduler_.takeDecisions();
    for (const StopDecision& stop : decisions.stops_)
        stopped_.push_back(stop.run_);
    return std::move(decisions.starts_);
}

std::vector<StartDecision> LimitedPool::startAll()
{
    std::vector<StartDecision> starts = place();
    accept(starts);
    return starts;
}

void LimitedPool::accept(const std::vector<StartDecision>& starts)
{
    for (const StartDecision& start : starts) {
        if (!scheduler_.beginStart(start.run_, now_))
            continue;
        scheduler_.startSent(start.run_, now_);
        scheduler_.startAnswered(start.run_, StartAnswer::Accepted, now_);
    }
}

void LimitedPool::end(const RunId& run, EndReason reason)
{
    const auto entry = scheduler_.state().runs_.find(run);
    if (entry == scheduler_.state().runs_.end())
        return;
    const WorkerKey worker = entry->second.worker_;
    PoolWorkerReport report;
    report.ended_.push_back({ ++sequences_[worker], run, reason, {} });
    for (const RunId& other : scheduler_.state().workers_.at(worker).runs_) {
        if (!(other == run))
            report.running_.push_back({ other, {}, 1 });
    }
    scheduler_.report(worker, report, now_, now_);
}

std::vector<RunId> LimitedPool::endStopped()
{
    const Decisions decisions = scheduler_.takeDecisions();
    for (const StopDecision& stop : decisions.stops_)
        stopped_.push_back(stop.run_);
    std::vector<RunId> ended = std::exchange(stopped_, {});
    for (const RunId& run : ended)
        end(run, EndReason::Stopped);
    return ended;
}

int LimitedPool::runsOf(const std::string& organisation) const
{
    int count = 0;
    for (const auto& [id, run] : scheduler_.state().runs_)
        count += scheduler_.state().jobs_.at(id.task_.job_).policy_.organisation_ == organisation ? 1 : 0;
    return count;
}

}
