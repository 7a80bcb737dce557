#include "pool/urgentroom.h"

#include <algorithm>
#include <utility>

namespace fescuecleat {

namespace {

    /** Most work that may be thrown away for an urgent job beyond its organisation's guarantee, as a multiple of the job's own. */
    constexpr double maxLostWorkShare = 2;
    /** Share of the time until the last useful stop within which capacity must become free: the unit's own estimate may be too low as well. */
    constexpr double waitShare = 0.5;
    /** Shortest time until a wait is reviewed, also when its end is near. */
    constexpr Duration minReviewDelay = std::chrono::milliseconds(20);
    /** Estimates are off by half, so a run may take a third less than its estimate. */
    constexpr int estimateErrorDivisor = 3;
    /** A job that is late anyway reserves capacity that becomes free within this time, so that smaller tasks don't take it one by one. */
    constexpr Duration lateReservation = std::chrono::seconds(2);

    /** Estimated work of a request's tasks, each of which takes `extra` longer, in core-seconds. */
    double workOf(const PlacementRequest& request, Duration extra)
    {
        const StepSpec& step = *request.step_;
        return step.weightInCores() * request.taskCount_ * std::chrono::duration<double>(step.estimate_ + extra).count();
    }

}

Time latestUsefulStart(const UrgentUnit& unit, const StopCosts& costs, Duration guaranteeLimit, Time now)
{
    if (!unit.isGuaranteed_)
        return unit.latestStart_.value_or(now);
    const Time bound = unit.waitingSince_ + guaranteeLimit;
    const bool canBeInTime = unit.latestStart_ && now + costs.leadTime() <= *unit.latestStart_;
    return canBeInTime ? std::min(bound, *unit.latestStart_) : bound;
}

UrgentRoom::UrgentRoom(PoolState& state, PlacementView& view, std::function<int(const Job&)> rankOf, Time now)
    : state_(state)
    , view_(view)
    , rankOf_(std::move(rankOf))
    , now_(now)
{
}

bool UrgentRoom::reserve(const UrgentUnit& unit, const PlacementRequest& request)
{
    return state_.stopCosts_ ? reserveAtCost(*state_.stopCosts_, unit, request) : preempt(unit, request);
}

bool UrgentRoom::reserveAtCost(const StopCosts& costs, const UrgentUnit& unit, const PlacementRequest& request)
{
    if (!freeing_)
        freeing_.emplace(state_, view_, now_);
    // If the capacity isn't free by then after all, a stop still meets the target.
    const Time lastStop = latestUsefulStart(unit, costs, state_.guaranteeLimit_, now_) - costs.leadTime();
    const Time waitUntil = now_ + std::chrono::duration_cast<Duration>((lastStop - now_) * waitShare);
    if (lastStop >= now_ && reserveFreeing(request, waitUntil)) {
        state_.preemptionAccount_.declined(unit.job_.id_, unit.unit_, DeclineCause::RoomFreesInTime);
        state_.nextPreemptionReview_ = std::min<Time>(state_.nextPreemptionReview_, waitUntil + minReviewDelay);
        return true;
    }
    const Duration estimateError = request.step_->estimate_ / estimateErrorDivisor;
    if (!unit.isGuaranteed_ && unit.latestStart_ && now_ + costs.stop_ > *unit.latestStart_ + estimateError) {
        state_.preemptionAccount_.declined(unit.job_.id_, unit.unit_, DeclineCause::LateAnyway);
        return reserveFreeing(request, now_ + lateReservation);
    }
    // What becomes free while others are being stopped need not be stopped.
    const Time stoppedAt = now_ + costs.stop_;
    freeing_->add(view_, stoppedAt);
    const bool isReserved = preempt(unit, request);
    freeing_->withdraw(view_, stoppedAt);
    return isReserved;
}

bool UrgentRoom::reserveFreeing(const PlacementRequest& request, Time until)
{
    const auto placement = freeing_->find(view_, request, until);
    if (!placement)
        return false;
    view_.reserve(*placement, request.step_->allocation());
    return true;
}

Preemption& UrgentRoom::preemption()
{
    if (!preemption_)
        preemption_.emplace(state_, view_, rankOf_, now_);
    return *preemption_;
}

bool UrgentRoom::losesTooMuch(const UrgentUnit& unit, const PlacementRequest& request, double cost) const
{
    // Only a guarantee is worth more lost work than the job itself brings.
    // A plan's cost has the stops and restores in it, so the work that it is compared with has them too, twice
    // because whole gangs are stopped, which have more tasks than the unit needs room for.
    const Duration stopsAndRestores = state_.stopCosts_ ? 2 * (state_.stopCosts_->stop_ + state_.stopCosts_->restore_) : Duration::zero();
    return !unit.isGuaranteed_ && cost > maxLostWorkShare * workOf(request, stopsAndRestores);
}

void UrgentRoom::stop(const std::vector<std::size_t>& victims, const std::string& cause)
{
    for (const std::size_t index : victims) {
        preemption_->take(index);
        const Preemption::Victim& victim = preemption_->victim(index);
        for (const auto& [entry, resources] : victim.runs_)
            view_.addProjected(view_.entries()[entry].worker_, resources);
        if (freeing_)
            freeing_->forget(*victim.job_, victim.unit_);
        state_.preemptionAccount_.unitStopped(victim.cost_);
        state_.stopUnit(*victim.job_, victim.unit_, cause, now_);
    }
    if (!victims.empty())
        limitPreemptions_.clear();
}

bool UrgentRoom::preempt(const UrgentUnit& unit, const PlacementRequest& request)
{
    const auto plan = preemption().plan(request, unit.rank_);
    if (!plan)
        return false;
    if (losesTooMuch(unit, request, plan->cost_)) {
        state_.preemptionAccount_.declined(unit.job_.id_, unit.unit_, DeclineCause::LosesTooMuch);
        return false;
    }
    if (plan->victims_.empty())
        state_.preemptionAccount_.declined(unit.job_.id_, unit.unit_, DeclineCause::RoomFreesInTime);
    stop(plan->victims_, preemptionCause(unit.job_.id_));
    if (const auto placement = view_.find(request, CapacityKind::Projected))
        view_.reserve(*placement, request.step_->allocation());
    return true;
}

bool UrgentRoom::makeRoomWithinLimit(const UrgentUnit& unit, const PlacementRequest& request, const Resources& reserved)
{
    std::vector<std::size_t> preferred;
    double cost = 0;
    // Room within the limit is of no use to a unit that finds no capacity then.
    if (!view_.isPlaceable(request)) {
        auto plan = preemption().plan(request, unit.rank_);
        if (!plan)
            return false;
        preferred = std::move(plan->victims_);
        cost = plan->cost_;
    }
    const std::string& organisation = unit.job_.policy_.organisation_;
    const auto known = limitPreemptions_.try_emplace(organisation, state_, preemption(), organisation).first;
    const auto plan = known->second.plan(request, unit.rank_, reserved, preferred);
    if (!plan)
        return false;
    if (losesTooMuch(unit, request, cost + plan->cost_)) {
        state_.preemptionAccount_.declined(unit.job_.id_, unit.unit_, DeclineCause::LosesTooMuch);
        return false;
    }
    stop(plan->victims_, "the limit of its organisation leaves no room for urgent job " + unit.job_.id_);
    return true;
}

}
