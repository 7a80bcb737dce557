#include "pool/placementexplainer.h"

#include "pool/placementview.h"
#include "pool/preemption.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace fescuecleat {

namespace {

    /** Differs from all ids of jobs, which are hexadecimal. */
    constexpr const char* hypotheticalJob = "hypothetical";
    /** A pass starts a limited number of tasks; a job that isn't reached by then is behind thousands of others. */
    constexpr int maxPasses = 20;
    /** A scheduled job may have any number of waiting units. */
    constexpr std::int64_t maxCountedUnits = 10000;

    bool isAhead(const Job& other, const Job& job)
    {
        return std::tie(other.policy_.priority_, other.targetCompletion_) < std::tie(job.policy_.priority_, job.targetCompletion_);
    }

}

PlacementExplainer::PlacementExplainer(const PoolScheduler& scheduler, Time now, std::int64_t unixMs)
    : scheduler_(scheduler)
    , now_(now)
    , unixMs_(unixMs)
{
}

std::optional<PlacementExplanation> PlacementExplainer::explain(const std::string& job)
{
    if (scheduler_.state().jobs_.count(job) == 0)
        return std::nullopt;
    return explainKnown(job);
}

PlacementExplanation PlacementExplainer::explain(PoolJobSpec spec, const JobPolicy& policy)
{
    scheduler_.addJob(hypotheticalJob, std::move(spec), policy, now_, nullptr, now_);
    return explainKnown(hypotheticalJob);
}

void PlacementExplainer::runPasses()
{
    // Decisions that wait to be executed have nothing to do with the question.
    scheduler_.takeDecisions();
    for (int pass = 0; pass < maxPasses; ++pass) {
        scheduler_.schedule(now_, unixMs_);
        Decisions decisions = scheduler_.takeDecisions();
        decisions_.starts_.insert(decisions_.starts_.end(), decisions.starts_.begin(), decisions.starts_.end());
        decisions_.stops_.insert(decisions_.stops_.end(), decisions.stops_.begin(), decisions.stops_.end());
        if (scheduler_.nextWake(now_, unixMs_) > now_)
            return;
    }
}

PlacementExplanation PlacementExplainer::explainKnown(const std::string& id)
{
    PlacementExplanation result;
    const Job& job = scheduler_.state().jobs_.at(id);
    for (std::size_t i = 0; i < job.spec_.steps_.size(); ++i) {
        StepExplanation step;
        step.step_ = static_cast<int>(i);
        step.waitingTasks_ = waitingTasks(job, step.step_);
        result.steps_.push_back(std::move(step));
    }
    for (const auto& [otherId, other] : scheduler_.state().jobs_) {
        if (otherId != id && other.isOpen() && other.progress_.hasWaiting() && isAhead(other, job))
            ++result.jobsAhead_;
    }
    runPasses();
    for (const StopDecision& stop : decisions_.stops_) {
        if (stop.cause_ == preemptionCause(id))
            ++result.preempted_[stop.run_.task_.job_];
    }
    for (const StartDecision& start : decisions_.starts_) {
        if (start.run_.task_.job_ != id)
            continue;
        StepExplanation& step = result.steps_[static_cast<std::size_t>(start.run_.task_.step_)];
        ++step.starts_[start.worker_.id_];
        step.racks_.insert(scheduler_.state().workers_.at(start.worker_).info_.rack_);
    }
    for (StepExplanation& step : result.steps_) {
        countRoom(job, step);
        step.cause_ = causeOf(job, step, !result.preempted_.empty());
    }
    result.state_ = job.state_;
    result.priority_ = job.policy_.priority_;
    result.targetCompletion_ = job.targetCompletion_;
    result.creditExpiry_ = job.creditExpiry_;
    return result;
}

std::int64_t PlacementExplainer::waitingTasks(const Job& job, int index) const
{
    if (!job.isOpen())
        return 0;
    const StepProgress& step = job.progress_.step(index);
    std::int64_t units = 0;
    for (auto next = step.firstWaiting(0); next && units < maxCountedUnits; next = step.firstWaiting(*next + 1))
        ++units;
    return units * step.taskCount();
}

void PlacementExplainer::countRoom(const Job& job, StepExplanation& explanation) const
{
    const PoolState& state = scheduler_.state();
    // The view refers to workers that it may change.
    std::map<WorkerKey, PoolWorkerState> workers = state.workers_;
    const PlacementView view(workers, state.closedDataCentres_, now_);
    PlacementRequest request;
    request.step_ = &job.step(explanation.step_);
    request.service_ = &job.policy_.service_;
    request.task_ = { job.id_, 0, explanation.step_, 0 };
    request.taskCount_ = job.progress_.step(explanation.step_).taskCount();
    for (const PlacementView::Rack& rack : view.racks()) {
        std::int64_t inRack = 0;
        for (const std::size_t index : rack.workers_) {
            const PlacementView::WorkerEntry& entry = view.entries()[index];
            if (!isEligible(entry.worker_->info_, *request.step_, *request.service_))
                continue;
            ++explanation.suitableWorkers_;
            inRack += view.countFittingTasks(entry, request, entry.free_, request.step_->taskCount_);
        }
        explanation.tasksWithRoom_ += inRack;
        explanation.tasksWithRoomInOneRack_ = std::max(explanation.tasksWithRoomInOneRack_, inRack);
    }
}

WaitCause PlacementExplainer::causeOf(const Job& job, const StepExplanation& explanation, bool hasPreempted) const
{
    const StepSpec& step = job.step(explanation.step_);
    if (explanation.waitingTasks_ == 0) {
        const StepProgress& progress = job.progress_.step(explanation.step_);
        const bool isUnderWay = !progress.started().empty() || progress.isDone(progress.unitsOf(0, job.occurrences() - 1));
        return isUnderWay || !job.isOpen() ? WaitCause::None : WaitCause::NotDue;
    }
    if (explanation.startedTasks() >= explanation.waitingTasks_)
        return WaitCause::None;
    if (explanation.suitableWorkers_ == 0)
        return WaitCause::NoSuitableWorker;
    const auto& workers = scheduler_.state().workers_;
    const bool fitsSomewhere = std::any_of(workers.begin(), workers.end(), [&](const auto& entry) {
        return isEligible(entry.second.info_, step, job.policy_.service_) && entry.second.info_.capacity_.contains(step.allocation());
    });
    if (!fitsSomewhere)
        return WaitCause::TaskTooLarge;
    if (hasPreempted)
        return WaitCause::RoomIsBeingFreed;
    const std::int64_t needed = job.progress_.step(explanation.step_).taskCount();
    const std::int64_t room = step.wantsOneRack_ ? explanation.tasksWithRoomInOneRack_ : explanation.tasksWithRoom_;
    if (room >= needed)
        return WaitCause::RoomIsKept;
    return explanation.tasksWithRoom_ > 0 ? WaitCause::GangDoesNotFit : WaitCause::NoRoom;
}

}
