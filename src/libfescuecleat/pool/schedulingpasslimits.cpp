#include "pool/schedulingpass.h"

// What a pass does for units that the limit of their organisation blocks.

namespace fescuecleat {

namespace {

    /** Tasks for which a pass makes room within limits; the next pass goes on. */
    constexpr int maxAwaitedTasks = 500;

}

std::optional<SchedulingPass::Outcome> SchedulingPass::placeOverLimit(const Candidate& candidate, const UnitId& unit, const PlacementRequest& request, ResourceKind resource)
{
    const Job& job = *candidate.job_;
    const bool mayPreempt = candidate.rank_ == Guaranteed || (candidate.rank_ == Urgent && !candidate.isExpired_ && !mustLeaveCapacity(candidate));
    const bool isRoomComing = mayPreempt && awaitedTasks_ < maxAwaitedTasks && limits_.canEverFit(job, request)
        && urgentRoom_.makeRoomWithinLimit(urgentUnit(candidate, unit, request), request, limits_.reserved(job.policy_.organisation_));
    // Runs whose starts had not been sent have ended at once.
    if (isRoomComing && !limits_.exceededBy(job, request))
        return std::nullopt;
    limits_.noteBlocked(job, resource);
    if (isRoomComing || shouldReserveLimit(candidate, request))
        limits_.reserve(job, request);
    if (!isRoomComing)
        return Outcome::OverOrganisationLimit;
    awaitedTasks_ += request.taskCount_;
    return Outcome::AwaitsLimit;
}

bool SchedulingPass::shouldReserveLimit(const Candidate& candidate, const PlacementRequest& request) const
{
    // Single tasks start as soon as one of the same size ends. A gang of ordinary rank has time until its latest start is near.
    if (request.taskCount_ == 1 || candidate.isExpired_ || limits_.reserved(candidate.job_->policy_.organisation_) != Resources {})
        return false;
    const bool isDue = candidate.rank_ <= Urgent || candidate.latestStart_ - request.step_->estimate_ < now_;
    return isDue && limits_.canFitBesideLasting(*candidate.job_, request) && view_.isPlaceable(request);
}

}
