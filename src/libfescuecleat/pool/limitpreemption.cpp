#include "pool/limitpreemption.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fescuecleat {

LimitPreemption::LimitPreemption(const PoolState& state, const Preemption& preemption, std::string organisation)
    : state_(state)
    , preemption_(preemption)
    , organisation_(std::move(organisation))
    , aboutToEnd_(aboutToEnd())
{
}

bool LimitPreemption::isReachable(const WorkerKey& key) const
{
    const auto worker = state_.workers_.find(key);
    return worker != state_.workers_.end() && worker->second.isReachable_;
}

Resources LimitPreemption::aboutToEnd() const
{
    Resources result;
    for (const auto& [id, job] : state_.jobs_) {
        if (job.policy_.organisation_ != organisation_ || !job.progress_.hasRuns())
            continue;
        for (const UnitId& unit : job.progress_.unitsWithRuns()) {
            for (const RunId& run : job.unit(unit).openRuns_) {
                const TaskRun& taskRun = state_.runs_.at(run);
                if (taskRun.phase_ == RunPhase::Stopping && isReachable(taskRun.worker_))
                    result += job.step(unit.step_).resources_;
            }
        }
    }
    // Runs without a record are stopped as soon as they are reported.
    for (const auto& [worker, runs] : state_.usage_.unrecorded()) {
        const auto own = runs.find(organisation_);
        if (own != runs.end() && isReachable(worker))
            result += own->second;
    }
    return result;
}

std::optional<Resources> LimitPreemption::freedBy(const Preemption::Victim& victim) const
{
    Resources result;
    for (const RunId& run : victim.job_->unit(victim.unit_).openRuns_) {
        const TaskRun& taskRun = state_.runs_.at(run);
        if (taskRun.phase_ != RunPhase::Recording && !isReachable(taskRun.worker_))
            return std::nullopt;
        if (taskRun.phase_ != RunPhase::Stopping)
            result += victim.job_->step(victim.unit_.step_).resources_;
    }
    return result;
}

std::optional<Preemption::Plan> LimitPreemption::plan(const PlacementRequest& request, int rank, const Resources& reserved, const std::vector<std::size_t>& preferred) const
{
    const Resources& limit = state_.usage_.policy(organisation_).limit_;
    const Resources& each = request.step_->resources_;
    Resources used = state_.usage_.used(organisation_) + reserved - aboutToEnd_;
    const auto lacking = [&] { return exceededResource(limit, used, each, request.taskCount_); };
    std::vector<std::pair<std::size_t, Resources>> chosen;
    const auto choose = [&](const std::vector<std::size_t>& candidates) {
        for (const std::size_t index : candidates) {
            const auto kind = lacking();
            if (!kind)
                return;
            const Preemption::Victim& victim = preemption_.victim(index);
            const bool isChosen = std::any_of(chosen.begin(), chosen.end(), [index](const auto& other) { return other.first == index; });
            if (victim.isTaken_ || isChosen || victim.rank_ <= rank || victim.job_->policy_.organisation_ != organisation_)
                continue;
            const auto freed = freedBy(victim);
            if (!freed || amountOf(*freed, *kind) == 0)
                continue;
            used -= *freed;
            chosen.emplace_back(index, *freed);
        }
    };
    choose(preferred);
    // Once for each resource: a victim that frees none of the first lacking one may free the next.
    for (std::size_t i = 0; i < std::size(resourceKinds) && lacking(); ++i)
        choose(preemption_.byCost());
    if (lacking())
        return std::nullopt;
    Preemption::Plan plan;
    // Victims that are not needed after all are dropped, most expensive first.
    for (std::size_t i = chosen.size(); i-- > 0;) {
        used += chosen[i].second;
        if (!lacking())
            continue;
        used -= chosen[i].second;
        plan.victims_.push_back(chosen[i].first);
        plan.cost_ += preemption_.victim(chosen[i].first).cost_;
    }
    return plan;
}

}
