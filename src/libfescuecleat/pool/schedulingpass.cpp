#include "pool/schedulingpass.h"

#include <algorithm>
#include <tuple>

namespace fescuecleat {

namespace {

    /** How long guaranteed gangs wait for a single rack before they may span several; they must start within 2.7 s. */
    constexpr Duration guaranteedRackTimeout = std::chrono::milliseconds(1700);
    /** Weight of an accelerator-second in core-seconds. */
    constexpr double coresPerAccelerator = 8;
    /** Most work lost when a task that saves its progress is stopped. */
    constexpr double maxCheckpointLossSeconds = 1.0;
    /** Headroom beyond the expected rise of urgent demand; holds one gang of typical size. */
    constexpr std::size_t baseHeadroomWorkers = 3;
    /** Upper bound of the headroom as a share of the pool's workers. */
    constexpr double maxHeadroomShare = 0.2;
    /** Ordinary units may use the headroom when their latest start is nearer than this. */
    constexpr Duration headroomStartMargin = std::chrono::seconds(3);
    /** Limit of gangs per pass for which a rack is reserved. */
    constexpr int maxRackReservations = 1;

    double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

}

SchedulingPass::SchedulingPass(PoolState& state, Time now)
    : state_(state)
    , now_(now)
    , view_(state.workers_, state.closedDataCentres_, now)
{
}

void SchedulingPass::run()
{
    selectGuaranteedJobs();
    reserveHeadroom();
    int reservations = 0;
    // Tasks of a step have the same requirements: if one doesn't fit, the others don't either.
    std::set<std::tuple<std::string, int, int>> unplaceableSteps;
    for (const Candidate& candidate : candidates()) {
        const WorkUnit& unit = candidate.job_->units_[candidate.unit_];
        const std::tuple<std::string, int, int> step(candidate.job_->id_, unit.occurrence_, unit.step_);
        if (unplaceableSteps.count(step) > 0)
            continue;
        if (place(candidate))
            continue;
        if (!unit.isGang()) {
            unplaceableSteps.insert(step);
            continue;
        }
        if (candidate.rank_ >= Ordinary && !candidate.isExpired_ && reservations < maxRackReservations) {
            view_.reserveRack(placementRequest(candidate));
            ++reservations;
        }
    }
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
    std::int64_t urgentAccelerators = 0;
    std::int64_t maxPerWorker = 1;
    for (const auto& [key, worker] : state_.workers_)
        maxPerWorker = std::max(maxPerWorker, worker.info_.capacity_.accelerators_);
    for (const auto& [id, run] : state_.runs_) {
        const Job* job = state_.findJob(id.task_.job_);
        if (job != nullptr && job->policy_.priority_ == 0)
            urgentAccelerators += run.resources_.accelerators_;
    }
    state_.urgentDemand_.observe(urgentAccelerators, now_);
    const auto rise = static_cast<std::size_t>((state_.urgentDemand_.expectedRise() + maxPerWorker - 1) / maxPerWorker);
    const auto maxWorkers = static_cast<std::size_t>(maxHeadroomShare * static_cast<double>(state_.workers_.size()));
    view_.reserveHeadroom(std::min(rise + baseHeadroomWorkers, maxWorkers));
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
    for (auto& [id, job] : state_.jobs_) {
        if (!job.isOpen())
            continue;
        const int rank = rankOf(job);
        const bool isExpired = now_ > job.creditExpiry();
        for (std::size_t i = 0; i < job.units_.size(); ++i) {
            const WorkUnit& unit = job.units_[i];
            if (unit.state_ == UnitState::Waiting && unit.retryAt_ <= now_)
                result.push_back({ &job, i, rank, isExpired, job.targetCompletion() - job.step(unit).estimate_ });
        }
    }
    std::stable_sort(result.begin(), result.end(), [](const Candidate& left, const Candidate& right) {
        return std::tie(left.rank_, left.isExpired_, left.latestStart_) < std::tie(right.rank_, right.isExpired_, right.latestStart_);
    });
    return result;
}

PlacementRequest SchedulingPass::placementRequest(const Candidate& candidate) const
{
    const WorkUnit& unit = candidate.job_->units_[candidate.unit_];
    PlacementRequest request;
    request.step_ = &candidate.job_->step(unit);
    request.service_ = candidate.job_->policy_.service_;
    request.taskCount_ = unit.taskCount_;
    request.avoidedWorkers_ = unit.failedOn_;
    if (request.step_->maxTasksPerWorker_ > 0) {
        for (const WorkUnit& other : candidate.job_->units_) {
            if (other.occurrence_ != unit.occurrence_ || other.step_ != unit.step_)
                continue;
            for (const RunId& run : other.openRuns_)
                ++request.placedTasks_[state_.runs_.at(run).worker_];
        }
    }
    request.maySpanRacks_ = !shouldWaitForRack(candidate, request);
    request.mayUseHeadroom_ = candidate.rank_ <= Urgent || (!candidate.isExpired_ && candidate.latestStart_ - headroomStartMargin < now_);
    return request;
}

bool SchedulingPass::shouldWaitForRack(const Candidate& candidate, const PlacementRequest& request) const
{
    if (!request.step_->wantsOneRack_ || !view_.fitsEmptyRack(request))
        return false;
    const Time timeoutAt = candidate.job_->units_[candidate.unit_].waitingSince_ + guaranteedRackTimeout;
    return now_ < (candidate.rank_ == Guaranteed ? std::min(timeoutAt, candidate.latestStart_) : candidate.latestStart_);
}

bool SchedulingPass::place(const Candidate& candidate)
{
    const PlacementRequest request = placementRequest(candidate);
    const Resources allocation = request.step_->allocation();
    if (const auto placement = view_.find(request, CapacityKind::Free)) {
        view_.reserve(*placement, allocation);
        state_.place(*candidate.job_, candidate.unit_, *placement, now_);
        return true;
    }
    if (const auto placement = view_.find(request, CapacityKind::Projected)) {
        view_.reserve(*placement, allocation);
        return false;
    }
    if (candidate.rank_ <= Urgent && preempt(candidate, request)) {
        if (const auto placement = view_.find(request, CapacityKind::Projected))
            view_.reserve(*placement, allocation);
    }
    return false;
}

double SchedulingPass::lostCoreSeconds(const Job& job, const WorkUnit& unit) const
{
    const StepSpec& step = job.step(unit);
    double elapsed = std::max(0.0, seconds(now_ - unit.startedAt_));
    for (const RunId& run : unit.openRuns_)
        elapsed = std::max(elapsed, state_.runs_.at(run).workDoneSeconds(step.estimate_));
    if (step.savesProgress_)
        elapsed = std::min(elapsed, maxCheckpointLossSeconds);
    const double cores = static_cast<double>(step.resources_.cpuMillis_) / 1000 + coresPerAccelerator * static_cast<double>(step.resources_.accelerators_);
    return elapsed * cores * unit.taskCount_;
}

std::vector<SchedulingPass::Victim> SchedulingPass::possibleVictims(const Candidate& candidate, const PlacementRequest& request, const std::string& rack) const
{
    std::set<std::pair<std::string, std::size_t>> seen;
    std::vector<Victim> result;
    for (const PoolWorkerState* worker : view_.eligibleWorkers(request, rack)) {
        for (const RunId& run : worker->runs_) {
            const TaskRun& taskRun = state_.runs_.at(run);
            Job* job = state_.findJob(run.task_.job_);
            if (job == nullptr || taskRun.phase_ == RunPhase::Stopping || rankOf(*job) <= candidate.rank_)
                continue;
            const WorkUnit& unit = job->units_[taskRun.unit_];
            if (unit.state_ != UnitState::Active || job->step(unit).maxUnavailable_ > 0)
                continue;
            if (seen.emplace(job->id_, taskRun.unit_).second)
                result.push_back({ job, taskRun.unit_, lostCoreSeconds(*job, unit) });
        }
    }
    std::sort(result.begin(), result.end(), [](const Victim& left, const Victim& right) {
        return std::tie(left.cost_, left.job_->id_, left.unit_) < std::tie(right.cost_, right.job_->id_, right.unit_);
    });
    return result;
}

void SchedulingPass::adjustForVictim(const Victim& victim, bool isAdded)
{
    for (const RunId& run : victim.job_->units_[victim.unit_].openRuns_) {
        const TaskRun& taskRun = state_.runs_.at(run);
        if (taskRun.phase_ == RunPhase::Stopping)
            continue;
        const PoolWorkerState* worker = state_.findWorker(taskRun.worker_);
        if (isAdded)
            view_.addProjected(worker, taskRun.resources_);
        else
            view_.removeProjected(worker, taskRun.resources_);
    }
}

std::vector<SchedulingPass::Victim> SchedulingPass::selectVictims(const Candidate& candidate, const PlacementRequest& request, const std::string& rack)
{
    std::vector<Victim> chosen;
    bool fits = false;
    for (const Victim& victim : possibleVictims(candidate, request, rack)) {
        adjustForVictim(victim, true);
        chosen.push_back(victim);
        fits = view_.find(request, CapacityKind::Projected).has_value();
        if (fits)
            break;
    }
    // Drop victims that are not needed after all, most expensive first.
    for (std::size_t i = chosen.size(); fits && i-- > 0;) {
        adjustForVictim(chosen[i], false);
        if (view_.find(request, CapacityKind::Projected))
            chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
        else
            adjustForVictim(chosen[i], true);
    }
    for (const Victim& victim : chosen)
        adjustForVictim(victim, false);
    if (!fits)
        chosen.clear();
    return chosen;
}

bool SchedulingPass::preempt(const Candidate& candidate, const PlacementRequest& request)
{
    const auto costOf = [](const std::vector<Victim>& victims) {
        double cost = 0;
        for (const Victim& victim : victims)
            cost += victim.cost_;
        return cost;
    };
    std::vector<Victim> best;
    for (const auto& [rack, indexes] : view_.racks()) {
        std::vector<Victim> chosen = selectVictims(candidate, request, rack);
        if (!chosen.empty() && (best.empty() || costOf(chosen) < costOf(best)))
            best = std::move(chosen);
    }
    const bool maySpanRacks = request.taskCount_ > 1 && (!request.step_->wantsOneRack_ || request.maySpanRacks_);
    if (best.empty() && maySpanRacks)
        best = selectVictims(candidate, request, {});
    for (const Victim& victim : best) {
        adjustForVictim(victim, true);
        state_.stopUnit(*victim.job_, victim.unit_, "its room goes to urgent job " + candidate.job_->id_, now_);
    }
    return !best.empty();
}

}
