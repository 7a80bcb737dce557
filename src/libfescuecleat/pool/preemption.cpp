#include "pool/preemption.h"

#include "pool/stopestimate.h"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace fescuecleat {

namespace {

    double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

}

std::string preemptionCause(const std::string& job)
{
    return "its room goes to urgent job " + job;
}

Preemption::Preemption(PoolState& state, const PlacementView& view, std::function<int(const Job&)> rankOf, Time now)
    : view_(view)
    , rankOf_(std::move(rankOf))
    , now_(now)
{
    collectVictims(state);
}

void Preemption::collectVictims(PoolState& state)
{
    // Runs are ordered by job, so each job is looked up once.
    Job* job = nullptr;
    int rank = 0;
    std::unordered_map<const WorkUnit*, std::size_t> victimOfUnit;
    for (const auto& [id, run] : state.runs_) {
        if (job == nullptr || job->id_ != id.task_.job_) {
            job = state.findJob(id.task_.job_);
            if (job == nullptr)
                continue;
            rank = rankOf_(*job);
            victimOfUnit.clear();
        }
        const WorkUnit& unit = job->unit(run.unit_);
        if (rank == 0 || run.phase_ == RunPhase::Stopping || unit.state_ != UnitState::Active || job->step(unit).maxUnavailable_ > 0)
            continue;
        const auto [known, isNew] = victimOfUnit.emplace(&unit, victims_.size());
        if (isNew)
            victims_.push_back({ job, run.unit_, rank, std::max(0.0, seconds(now_ - unit.startedAt_)) });
        Victim& victim = victims_[known->second];
        victim.cost_ = std::max(victim.cost_, run.workDoneSeconds(job->step(unit).estimate_));
        if (const auto index = view_.indexOf(state.findWorker(run.worker_)))
            victim.runs_.emplace_back(*index, run.resources_);
    }
    allVictims_.resize(victims_.size());
    for (std::size_t i = 0; i < victims_.size(); ++i) {
        allVictims_[i] = i;
        Victim& victim = victims_[i];
        // So far, the cost is the progress in seconds.
        const StopEstimate estimate = estimateStop(state, *victim.job_, victim.job_->unit(victim.unit_), victim.cost_, now_);
        victim.cost_ = estimate.lostCoreSeconds_;
        victim.freeAfter_ = estimate.freeAfter_;
        victim.isTaken_ = estimate.endsAnyway_;
    }
    std::sort(allVictims_.begin(), allVictims_.end(), [this](std::size_t left, std::size_t right) {
        return std::tie(victims_[left].cost_, victims_[left].job_->id_, left) < std::tie(victims_[right].cost_, victims_[right].job_->id_, right);
    });
    victimsByRack_.resize(view_.racks().size());
    for (const std::size_t index : allVictims_) {
        for (const auto& [entry, resources] : victims_[index].runs_) {
            std::vector<std::size_t>& ofRack = victimsByRack_[view_.entries()[entry].rack_];
            if (ofRack.empty() || ofRack.back() != index)
                ofRack.push_back(index);
        }
    }
    allEntries_.resize(view_.entries().size());
    for (std::size_t i = 0; i < allEntries_.size(); ++i)
        allEntries_[i] = i;
}

std::optional<Preemption::Plan> Preemption::plan(const PlacementRequest& request, int rank)
{
    std::optional<Plan> best;
    for (std::size_t rack = 0; rack < victimsByRack_.size(); ++rack) {
        const double maxCost = best ? best->cost_ : std::numeric_limits<double>::infinity();
        auto plan = planWithin(request, rank, view_.racks()[rack].workers_, victimsByRack_[rack], maxCost);
        if (plan && (!best || std::tie(plan->cost_, plan->freeAfter_) < std::tie(best->cost_, best->freeAfter_)))
            best = std::move(plan);
    }
    if (best || request.taskCount_ == 1 || request.needsOneRack())
        return best;
    return planWithin(request, rank, allEntries_, allVictims_, std::numeric_limits<double>::infinity());
}

std::optional<Preemption::Plan> Preemption::planWithin(const PlacementRequest& request, int rank, const std::vector<std::size_t>& entries, const std::vector<std::size_t>& victims, double maxCost)
{
    std::unordered_map<std::size_t, Resources> projected;
    projected.reserve(entries.size());
    std::int64_t count = 0;
    const auto countOf = [&](std::size_t entry, const Resources& available) {
        return view_.countFittingTasks(view_.entries()[entry], request, available, request.taskCount_);
    };
    for (const std::size_t entry : entries) {
        const Resources& available = view_.entries()[entry].projected_;
        projected.emplace(entry, available);
        count += countOf(entry, available);
    }
    const auto adjust = [&](const Victim& victim, bool isAdded) {
        for (const auto& [entry, resources] : victim.runs_) {
            const auto worker = projected.find(entry);
            if (worker == projected.end())
                continue;
            count -= countOf(entry, worker->second);
            worker->second += isAdded ? resources : Resources {} - resources;
            count += countOf(entry, worker->second);
        }
    };
    Plan plan;
    for (const std::size_t index : victims) {
        if (count >= request.taskCount_)
            break;
        const Victim& victim = victims_[index];
        if (victim.isTaken_ || victim.rank_ <= rank)
            continue;
        if (plan.cost_ + victim.cost_ > maxCost && plan.victims_.empty())
            return std::nullopt; // the others cost even more
        adjust(victim, true);
        plan.victims_.push_back(index);
        plan.cost_ += victim.cost_;
    }
    if (count < request.taskCount_)
        return std::nullopt;
    // Drop victims that are not needed after all, most expensive first.
    for (std::size_t i = plan.victims_.size(); i-- > 0;) {
        const Victim& victim = victims_[plan.victims_[i]];
        adjust(victim, false);
        if (count >= request.taskCount_) {
            plan.cost_ -= victim.cost_;
            plan.victims_.erase(plan.victims_.begin() + static_cast<std::ptrdiff_t>(i));
        } else {
            adjust(victim, true);
        }
    }
    if (plan.cost_ > maxCost)
        return std::nullopt;
    for (const std::size_t index : plan.victims_)
        plan.freeAfter_ = std::max(plan.freeAfter_, victims_[index].freeAfter_);
    return plan;
}

}
