#include "pool/schedulingpass.h"

#include "pool/overloadreview.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace fescuecleat {

namespace {

    /** Share of the guarantee's limit after which a guaranteed gang may span several racks; preemption takes the rest. */
    constexpr double rackWaitShare = 0.63;
    /** Headroom beyond the expected rise of urgent demand; holds one gang of typical size. */
    constexpr std::size_t baseHeadroomWorkers = 3;
    /** Upper bound of the headroom as a share of the pool's workers. */
    constexpr double maxHeadroomShare = 0.2;
    /** Ordinary units may use the headroom when their latest start is nearer than this. */
    constexpr Duration headroomStartMargin = std::chrono::seconds(3);
    /** Longest wait for room outside the headroom past the credit of a job; urgent demand rises and falls within this time. */
    constexpr Duration maxHeadroomWait = std::chrono::seconds(12);
    /** With less than half of a service's capacity in use, a unit waits no longer for a rack, or for room that is reserved for others. */
    constexpr Duration maxWaitUnderLightUse = std::chrono::seconds(10);
    /** A task that may crash its worker waits this long for one on which nothing else is starting. */
    constexpr Duration maxProbeWait = std::chrono::seconds(2);
    /** Share of the racks that may be reserved for waiting gangs. */
    constexpr double maxReservedRackShare = 0.2;
    /** A pass ends after it has started so many tasks, so that the lease is renewed and callers are answered before the next one. */
    constexpr int maxStartsPerPass = 500;
    /** One of so many runs is reserved for organisations that have less than their share of the reserved ones. */
    constexpr std::size_t dividedRunsDivisor = 4;

}

SchedulingPass::SchedulingPass(PoolState& state, Time now)
    : state_(state)
    , now_(now)
    , view_(state.workers_, state.closedDataCentres_, now)
    , urgentRoom_(
          state, view_, [this](const Job& job) { return rankOf(job); }, now)
    , limits_(state)
{
    for (const auto& [key, worker] : state.workers_) {
        for (const RunId& run : worker.unrecordedRuns_)
            unrecordedTasks_.insert(run.task_);
    }
}

bool SchedulingPass::run()
{
    state_.nextPreemptionReview_ = Time::max();
    const bool isComplete = placeCandidates();
    state_.preemptionAccount_.endPass(isComplete);
    return isComplete;
}

bool SchedulingPass::placeCandidates()
{
    selectGuaranteedJobs();
    OverloadReview(
        state_, [this](const Job& job) { return rankOf(job); }, Guaranteed, now_)
        .run();
    state_.overload_.isShort_ = false;
    countSubmissions(state_, now_);
    reserveHeadroom();
    for (const Candidate& candidate : candidates()) {
        placeCandidate(candidate);
        if (hasStartedEnough()) {
            state_.headroom_ = view_.headroom();
            limits_.publish(false);
            return false;
        }
    }
    limits_.publish(true);
    return true;
}

bool SchedulingPass::hasStartedEnough() const
{
    return startedTasks_ >= maxStartsPerPass;
}

bool SchedulingPass::isWithinRunLimit(const Candidate& candidate, const PlacementRequest& request) const
{
    // Their number is bounded by the accelerators that are guaranteed.
    if (candidate.rank_ == Guaranteed && request.step_->resources_.accelerators_ > 0)
        return true;
    const std::size_t divided = state_.runLimit_ / dividedRunsDivisor;
    if (state_.runs_.size() < state_.runLimit_ - divided)
        return true;
    const auto runs = state_.runsByOrganisation_.find(candidate.job_->policy_.organisation_);
    const std::size_t share = divided / std::max<std::size_t>(1, state_.guarantees_.size());
    return runs == state_.runsByOrganisation_.end() || runs->second < share;
}

void SchedulingPass::placeCandidate(const Candidate& candidate)
{
    const WorkProgress& progress = candidate.job_->progress_;
    // Steps with waiting units by the next occurrence that has some, so that earlier occurrences come to their end first;
    // within an occurrence, the longest steps come first.
    std::set<std::tuple<int, Duration, int>> queue;
    std::set<int> exhaustedSteps;
    const auto enqueue = [&](int index, int firstOccurrence) {
        const StepProgress& step = progress.step(index);
        const std::int64_t from = step.unitsOf(firstOccurrence).first_;
        const auto next = exhaustedSteps.count(index) > 0 ? step.firstRestarting(from) : step.firstWaiting(from);
        if (next)
            queue.emplace(step.occurrenceOf(*next), -candidate.job_->step(index).estimate_, index);
    };
    for (const int step : candidate.steps_)
        enqueue(step, 0);
    while (!queue.empty() && !hasStartedEnough()) {
        const auto [occurrence, negativeEstimate, step] = *queue.begin();
        queue.erase(queue.begin());
        if (const auto unplaced = placeUnits(candidate, step, occurrence)) {
            if (unplaced->outcome_ == Outcome::Limited)
                return;
            // All units of the step need the same; other steps and organisations go on.
            if (unplaced->outcome_ == Outcome::OverOrganisationLimit)
                continue;
            // Capacity that is left to a unit helps it only if the pool, as it is, can ever hold it.
            const bool isAttainable = view_.isAttainable(unplaced->request_);
            if (isAttainable) {
                state_.overload_.isShort_ = true;
                if (!candidate.isExpired_ && !candidate.isBehind_)
                    shortRank_ = candidate.rank_;
            }
            const bool isRackReserved = isAttainable && unplaced->outcome_ == Outcome::Unplaced && reserveRack(candidate, unplaced->request_);
            if (unplaced->outcome_ == Outcome::Unplaced && unplaced->isTypical_ && !isRackReserved)
                exhaustedSteps.insert(step);
        }
        enqueue(step, occurrence + 1);
    }
}

bool SchedulingPass::reserveRack(const Candidate& candidate, const PlacementRequest& request)
{
    const auto maxReservations = static_cast<int>(std::ceil(maxReservedRackShare * static_cast<double>(view_.racks().size())));
    if (request.taskCount_ == 1 || candidate.rank_ < Ordinary || candidate.isExpired_ || mustLeaveCapacity(candidate) || reservedRacks_ >= maxReservations)
        return false;
    view_.reserveRack(request);
    ++reservedRacks_;
    return true;
}

std::optional<SchedulingPass::UnplacedUnit> SchedulingPass::placeUnits(const Candidate& candidate, int stepIndex, int occurrence)
{
    const Job& job = *candidate.job_;
    const StepProgress& step = job.progress_.step(stepIndex);
    const Interval units = step.unitsOf(occurrence);
    const bool hasWorkerLimit = job.step(stepIndex).maxTasksPerWorker_ > 0;
    std::map<WorkerKey, int> placed;
    if (hasWorkerLimit) {
        const auto end = step.started().upper_bound(units.last_);
        for (auto started = step.started().lower_bound(units.first_); started != end; ++started)
            countPlacedTasks(started->second, placed);
    }
    for (auto number = step.firstWaiting(units.first_); number && *number <= units.last_ && !hasStartedEnough(); number = step.firstWaiting(*number + 1)) {
        const WorkUnit* const started = step.find(*number);
        const UnitId unit = step.idOf(*number);
        if ((started != nullptr && started->retryAt_ > now_) || isActiveWithoutRecord(job, unit))
            continue;
        PlacementRequest request = placementRequest(candidate, unit, started);
        request.placedTasks_ = std::move(placed);
        const Outcome outcome = place(candidate, unit, request);
        if (outcome == Outcome::AwaitsLimit) {
            placed = std::move(request.placedTasks_);
            continue;
        }
        // The step's tasks have the same requirements: if one doesn't fit, the others don't either.
        if (outcome != Outcome::Placed) {
            const bool isTypical = started == nullptr && request.placedTasks_.empty();
            return UnplacedUnit { std::move(request), outcome, isTypical };
        }
        placed = std::move(request.placedTasks_);
        if (hasWorkerLimit)
            countPlacedTasks(job.unit(unit), placed);
    }
    return std::nullopt;
}

void SchedulingPass::countPlacedTasks(const WorkUnit& unit, std::map<WorkerKey, int>& placed) const
{
    for (const RunId& run : unit.openRuns_)
        ++placed[state_.runs_.at(run).worker_];
}

void SchedulingPass::selectGuaranteedJobs()
{
    std::map<std::string, std::vector<const Job*>> urgent;
    for (const auto& [id, job] : state_.jobs_) {
        if (job.isOpen() && job.policy_.priority_ == 0)
            urgent[job.policy_.organisation_].push_back(&job);
    }
    for (auto& [organisation, jobs] : urgent) {
        const auto guarantee = state_.guarantees_.find(organisation);
        if (guarantee == state_.guarantees_.end())
            continue;
        std::sort(jobs.begin(), jobs.end(), [](const Job* left, const Job* right) {
            return std::tie(left->submittedAt_, left->id_) < std::tie(right->submittedAt_, right->id_);
        });
        std::int64_t left = guarantee->second;
        for (const Job* job : jobs) {
            left -= job->peakAccelerators();
            if (left < 0)
                break;
            guaranteedJobs_.insert(job->id_);
        }
    }
}

void SchedulingPass::reserveHeadroom()
{
    state_.urgentDemand_.observe(state_.urgentAccelerators_, now_);
    const std::int64_t perWorker = view_.maxWorkerAccelerators();
    const auto rise = static_cast<std::size_t>((state_.urgentDemand_.expectedRise() + perWorker - 1) / perWorker);
    const auto maxWorkers = static_cast<std::size_t>(maxHeadroomShare * static_cast<double>(view_.entries().size()));
    view_.reserveHeadroom(std::min(rise + baseHeadroomWorkers, maxWorkers), std::exchange(state_.headroom_, {}));
}

int SchedulingPass::rankOf(const Job& job) const
{
    if (job.policy_.priority_ > 0)
        return Urgent + job.policy_.priority_;
    return guaranteedJobs_.count(job.id_) > 0 ? Guaranteed : Urgent;
}

std::vector<SchedulingPass::Candidate> SchedulingPass::candidates() const
{
    std::vector<Candidate> result;
    std::set<std::string> organisations;
    for (auto& [id, job] : state_.jobs_) {
        if (!job.isOpen() || !job.progress_.hasWaiting())
            continue;
        std::map<Time, std::vector<int>> stepsByLatestStart;
        for (const int step : job.progress_.waitingSteps())
            stepsByLatestStart[job.targetCompletion_ - job.step(step).estimate_].push_back(step);
        if (job.spec_.isTimed()) {
            const Time first = stepsByLatestStart.begin()->first;
            const std::set<int>& waiting = job.progress_.waitingSteps();
            stepsByLatestStart = { { first, { waiting.begin(), waiting.end() } } };
        }
        organisations.insert(job.policy_.organisation_);
        const int rank = rankOf(job);
        // Work that lasts earns for as long as it runs.
        const bool isExpired = now_ > job.creditExpiry_ && !job.isLasting();
        for (auto& [latestStart, steps] : stepsByLatestStart)
            result.push_back({ &job, std::move(steps), rank, isExpired, isBehind(job, rank, latestStart), latestStart });
    }
    const OrganisationOrder organisationOrder(state_, organisations);
    for (Candidate& candidate : result)
        candidate.turn_ = candidate.rank_ == Guaranteed ? Turn::WithinShare : organisationOrder.turnOf(*candidate.job_);
    const auto order = [](const Candidate& candidate) {
        return std::make_tuple(candidate.rank_, candidate.isExpired_, candidate.turn_, candidate.isBehind_, candidate.latestStart_);
    };
    std::stable_sort(result.begin(), result.end(), [&order](const Candidate& left, const Candidate& right) { return order(left) < order(right); });
    return result;
}

bool SchedulingPass::isBehind(const Job& job, int rank, Time latestStart) const
{
    // Guaranteed jobs keep their turn.
    if (rank == Guaranteed || OverloadReview::isPostponementOver(state_.overload_, job, rank, now_))
        return false;
    return latestStart < now_ || state_.overload_.postponed_.count(job.id_) > 0;
}

bool SchedulingPass::mustLeaveCapacity(const Candidate& candidate) const
{
    return shortRank_ && state_.overload_.postponed_.count(candidate.job_->id_) > 0;
}

bool SchedulingPass::isActiveWithoutRecord(const Job& job, const UnitId& unit) const
{
    if (unrecordedTasks_.empty())
        return false;
    // The index of a gang's unit is below those of its tasks.
    const TaskId first { job.id_, unit.occurrence_, unit.step_, unit.index_ };
    const auto found = unrecordedTasks_.lower_bound(first);
    return found != unrecordedTasks_.end() && (unit.index_ < 0 ? areOfOneStep(*found, first) : *found == first);
}

PlacementRequest SchedulingPass::placementRequest(const Candidate& candidate, const UnitId& unit, const WorkUnit* started) const
{
    const Job& job = *candidate.job_;
    PlacementRequest request;
    request.step_ = &job.step(unit.step_);
    request.service_ = &job.policy_.service_;
    request.task_ = { job.id_, unit.occurrence_, unit.step_, unit.index_ };
    request.taskCount_ = job.progress_.step(unit.step_).taskCount();
    request.waitingSince_ = started == nullptr ? job.progress_.readySince(unit) : started->waitingSince_;
    if (started != nullptr) {
        request.avoidedWorkers_ = &started->failedOn_;
        for (const auto& [index, crashes] : started->crashes_)
            request.avoidedMachines_.insert(crashes.machines_.begin(), crashes.machines_.end());
        request.isProbe_ = started->isSuspect() && now_ < request.waitingSince_ + maxProbeWait;
    }
    request.mayPreempt_ = candidate.rank_ <= Urgent;
    request.maySpanRacks_ = !shouldWaitForRack(candidate, request);
    // Tasks that save their progress leave the headroom at almost no cost.
    const bool isDue = !candidate.isExpired_ && !request.step_->isLongRunning_ && candidate.latestStart_ - headroomStartMargin < now_;
    request.mayUseHeadroom_ = candidate.rank_ <= Urgent || request.step_->savesProgress_ || isDue;
    return request;
}

bool SchedulingPass::isHeadroomOpen(const Candidate& candidate, const PlacementRequest& request) const
{
    // Tasks that last have no latest start before which they could wait. Without load, what keeps a unit from the other
    // workers is fragmentation, which no end of other work need change.
    if (request.step_->isLongRunning_ || view_.isLightlyUsed(*request.service_))
        return true;
    if (!candidate.isExpired_)
        return false;
    return now_ > std::max(candidate.job_->creditExpiry_, request.waitingSince_) + maxHeadroomWait || !view_.fitsOutsideHeadroom(request);
}

bool SchedulingPass::hasWaitedUnderLightUse(const PlacementRequest& request) const
{
    return view_.isLightlyUsed(*request.service_) && now_ > request.waitingSince_ + maxWaitUnderLightUse;
}

bool SchedulingPass::isReservedOpen(const PlacementRequest& request) const
{
    // A gang has the time of its reservation, but tasks that last are due now.
    return request.step_->isLongRunning_ || hasWaitedUnderLightUse(request);
}

bool SchedulingPass::shouldWaitForRack(const Candidate& candidate, const PlacementRequest& request) const
{
    if (!request.step_->wantsOneRack_ || !view_.isAttainable(request))
        return false;
    if (candidate.rank_ > Urgent && hasWaitedUnderLightUse(request))
        return false;
    const auto rackWait = std::chrono::duration_cast<Duration>(state_.guaranteeLimit_ * rackWaitShare);
    const Time timeoutAt = request.waitingSince_ + (state_.stopCosts_ ? std::min<Duration>(rackWait, state_.guaranteeLimit_ - state_.stopCosts_->leadTime()) : rackWait);
    return now_ < (candidate.rank_ == Guaranteed ? std::min(timeoutAt, candidate.latestStart_) : candidate.latestStart_);
}

SchedulingPass::Outcome SchedulingPass::place(const Candidate& candidate, const UnitId& unit, PlacementRequest& request)
{
    if (!isWithinRunLimit(candidate, request))
        return Outcome::Limited;
    if (const auto resource = limits_.exceededBy(*candidate.job_, request)) {
        if (const auto outcome = placeOverLimit(candidate, unit, request, *resource))
            return *outcome;
    }
    Outcome outcome = placeInCapacity(candidate, unit, request);
    if (outcome == Outcome::Unplaced && !request.mayUseHeadroom_ && isHeadroomOpen(candidate, request)) {
        request.mayUseHeadroom_ = true;
        outcome = placeInCapacity(candidate, unit, request);
    }
    if (outcome == Outcome::Unplaced && isReservedOpen(request)) {
        request.mayUseReserved_ = true;
        outcome = placeInCapacity(candidate, unit, request);
    }
    if (outcome != Outcome::Unplaced || candidate.rank_ > Urgent || mustLeaveCapacity(candidate))
        return outcome;
    if (!urgentRoom_.reserve(urgentUnit(candidate, unit, request), request))
        return Outcome::Unplaced;
    limits_.reserve(*candidate.job_, request);
    return Outcome::Reserved;
}

SchedulingPass::Outcome SchedulingPass::placeInCapacity(const Candidate& candidate, const UnitId& unit, const PlacementRequest& request)
{
    const Resources allocation = request.step_->allocation();
    if (const auto placement = view_.find(request, CapacityKind::Free)) {
        view_.reserve(*placement, allocation);
        state_.place(*candidate.job_, unit, *placement, now_);
        startedTasks_ += request.taskCount_;
        return Outcome::Placed;
    }
    if (const auto placement = view_.find(request, CapacityKind::Projected)) {
        view_.reserve(*placement, allocation);
        limits_.reserve(*candidate.job_, request);
        return Outcome::Reserved;
    }
    return Outcome::Unplaced;
}

UrgentUnit SchedulingPass::urgentUnit(const Candidate& candidate, const UnitId& unit, const PlacementRequest& request) const
{
    const bool hasTarget = !request.step_->isLongRunning_ && !candidate.job_->spec_.isTimed();
    return { *candidate.job_, unit, candidate.rank_, candidate.rank_ == Guaranteed, request.waitingSince_, hasTarget ? std::make_optional(candidate.latestStart_) : std::nullopt };
}

}
