#include "pool/schedulingpass.h"

#include <algorithm>
#include <tuple>

namespace fescuecleat {

namespace {

    /** How long guaranteed work waits for room in one rack before it is spread over several; its start is due within 2.7 s. */
    constexpr Duration urgentRackPatience = std::chrono::milliseconds(1700);
    /** An accelerator-second counts as this many core-seconds. */
    constexpr double coresPerAccelerator = 8;
    /** Work that is lost at most when a task stops that saves its progress. */
    constexpr double checkpointLossSeconds = 1.0;
    /** Idle workers kept for urgent work beyond its expected rise: room for one gang of usual size. */
    constexpr std::size_t spareWorkers = 3;
    /** At most this part of the pool is kept for urgent work. */
    constexpr double mostHeadroom = 0.2;
    /** Ordinary work whose latest start is nearer than this uses the headroom too. */
    constexpr Duration headroomPatience = std::chrono::seconds(3);
    /** Gangs without room for which a rack is kept free in one pass. */
    constexpr int reservedGangs = 1;

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
    rankJobs();
    keepHeadroom();
    int reserved = 0;
    // Tasks of a step are alike: where one found no room, the others won't.
    std::set<std::tuple<std::string, int, int>> fullSteps;
    for (const Candidate& candidate : candidates()) {
        const WorkUnit& unit = candidate.job_->units_[candidate.unit_];
        const std::tuple<std::string, int, int> step(candidate.job_->id_, unit.occurrence_, unit.step_);
        if (fullSteps.count(step) > 0)
            continue;
        if (place(candidate))
            continue;
        if (!unit.isGang()) {
            fullSteps.insert(step);
            continue;
        }
        if (candidate.rank_ >= Ordinary && !candidate.isHopeless_ && reserved < reservedGangs) {
            view_.reserveRack(request(candidate));
            ++reserved;
        }
    }
}

void SchedulingPass::rankJobs()
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
            left -= job->acceleratorDemand();
            if (left < 0)
                break;
            guaranteedJobs_.insert(job->id_);
        }
    }
}

void SchedulingPass::keepHeadroom()
{
    std::int64_t held = 0;
    std::int64_t largest = 1;
    for (const auto& [key, worker] : state_.workers_)
        largest = std::max(largest, worker.info_.capacity_.accelerators_);
    for (const auto& [id, run] : state_.runs_) {
        const Job* job = state_.findJob(id.task_.job_);
        if (job != nullptr && job->policy_.priority_ == 0)
            held += run.room_.accelerators_;
    }
    state_.urgentDemand_.observe(held, now_);
    const auto rise = static_cast<std::size_t>((state_.urgentDemand_.expectedRise() + largest - 1) / largest);
    const auto most = static_cast<std::size_t>(mostHeadroom * static_cast<double>(state_.workers_.size()));
    view_.keepHeadroom(std::min(rise + spareWorkers, most));
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
        const bool isHopeless = now_ > job.worthlessAfter();
        for (std::size_t i = 0; i < job.units_.size(); ++i) {
            const WorkUnit& unit = job.units_[i];
            if (unit.state_ == UnitState::Waiting && unit.retryAt_ <= now_)
                result.push_back({ &job, i, rank, isHopeless, job.objective() - job.step(unit).estimate_ });
        }
    }
    std::stable_sort(result.begin(), result.end(), [](const Candidate& left, const Candidate& right) {
        return std::tie(left.rank_, left.isHopeless_, left.latestStart_) < std::tie(right.rank_, right.isHopeless_, right.latestStart_);
    });
    return result;
}

PlacementRequest SchedulingPass::request(const Candidate& candidate) const
{
    const WorkUnit& unit = candidate.job_->units_[candidate.unit_];
    PlacementRequest request;
    request.step_ = &candidate.job_->step(unit);
    request.service_ = candidate.job_->policy_.service_;
    request.taskCount_ = unit.taskCount_;
    request.disliked_ = unit.failedOn_;
    if (request.step_->maxTasksPerWorker_ > 0) {
        for (const WorkUnit& other : candidate.job_->units_) {
            if (other.occurrence_ != unit.occurrence_ || other.step_ != unit.step_)
                continue;
            for (const RunId& run : other.openRuns_)
                ++request.tasksThere_[state_.runs_.at(run).worker_];
        }
    }
    request.maySpanRacks_ = !mayWaitForRack(candidate, request);
    request.mayUseHeadroom_ = candidate.rank_ <= Urgent || (!candidate.isHopeless_ && candidate.latestStart_ - headroomPatience < now_);
    return request;
}

bool SchedulingPass::mayWaitForRack(const Candidate& candidate, const PlacementRequest& request) const
{
    if (!request.step_->wantsOneRack_ || !view_.couldFitOneRack(request))
        return false;
    const Time patience = candidate.job_->units_[candidate.unit_].waitingSince_ + urgentRackPatience;
    return now_ < (candidate.rank_ == Guaranteed ? std::min(patience, candidate.latestStart_) : candidate.latestStart_);
}

bool SchedulingPass::place(const Candidate& candidate)
{
    const PlacementRequest wanted = request(candidate);
    const Resources room = wanted.step_->room();
    if (const auto placement = view_.find(wanted, RoomKind::Free)) {
        view_.take(*placement, room);
        state_.place(*candidate.job_, candidate.unit_, *placement, now_);
        return true;
    }
    if (const auto placement = view_.find(wanted, RoomKind::FreeSoon)) {
        view_.take(*placement, room);
        return false;
    }
    if (candidate.rank_ <= Urgent && preempt(candidate, wanted)) {
        if (const auto placement = view_.find(wanted, RoomKind::FreeSoon))
            view_.take(*placement, room);
    }
    return false;
}

double SchedulingPass::lostWork(const Job& job, const WorkUnit& unit) const
{
    const StepSpec& step = job.step(unit);
    double elapsed = std::max(0.0, seconds(now_ - unit.startedAt_));
    for (const RunId& run : unit.openRuns_)
        elapsed = std::max(elapsed, state_.runs_.at(run).workDone(step.estimate_));
    if (step.savesProgress_)
        elapsed = std::min(elapsed, checkpointLossSeconds);
    const double cores = static_cast<double>(step.resources_.cpuMillis_) / 1000 + coresPerAccelerator * static_cast<double>(step.resources_.accelerators_);
    return elapsed * cores * unit.taskCount_;
}

std::vector<SchedulingPass::Victim> SchedulingPass::victims(const Candidate& candidate, const PlacementRequest& request, const std::string& rack) const
{
    std::set<std::pair<std::string, std::size_t>> seen;
    std::vector<Victim> result;
    for (const PoolWorkerState* worker : view_.eligible(request, rack)) {
        for (const RunId& run : worker->runs_) {
            const TaskRun& taskRun = state_.runs_.at(run);
            Job* job = state_.findJob(run.task_.job_);
            if (job == nullptr || taskRun.phase_ == RunPhase::Stopping || rankOf(*job) <= candidate.rank_)
                continue;
            const WorkUnit& unit = job->units_[taskRun.unit_];
            if (unit.state_ != UnitState::Active || job->step(unit).maxUnavailable_ > 0)
                continue;
            if (seen.emplace(job->id_, taskRun.unit_).second)
                result.push_back({ job, taskRun.unit_, lostWork(*job, unit) });
        }
    }
    std::sort(result.begin(), result.end(), [](const Victim& left, const Victim& right) {
        return std::tie(left.cost_, left.job_->id_, left.unit_) < std::tie(right.cost_, right.job_->id_, right.unit_);
    });
    return result;
}

void SchedulingPass::addVictimRoom(const Victim& victim, bool isAdded)
{
    for (const RunId& run : victim.job_->units_[victim.unit_].openRuns_) {
        const TaskRun& taskRun = state_.runs_.at(run);
        if (taskRun.phase_ == RunPhase::Stopping)
            continue;
        const PoolWorkerState* worker = state_.findWorker(taskRun.worker_);
        if (isAdded)
            view_.addSoon(worker, taskRun.room_);
        else
            view_.removeSoon(worker, taskRun.room_);
    }
}

std::vector<SchedulingPass::Victim> SchedulingPass::choose(const Candidate& candidate, const PlacementRequest& wanted, const std::string& rack)
{
    std::vector<Victim> chosen;
    bool fits = false;
    for (const Victim& victim : victims(candidate, wanted, rack)) {
        addVictimRoom(victim, true);
        chosen.push_back(victim);
        fits = view_.find(wanted, RoomKind::FreeSoon).has_value();
        if (fits)
            break;
    }
    // Spares the costliest victims that turn out not to be needed.
    for (std::size_t i = chosen.size(); fits && i-- > 0;) {
        addVictimRoom(chosen[i], false);
        if (view_.find(wanted, RoomKind::FreeSoon))
            chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
        else
            addVictimRoom(chosen[i], true);
    }
    for (const Victim& victim : chosen)
        addVictimRoom(victim, false);
    if (!fits)
        chosen.clear();
    return chosen;
}

bool SchedulingPass::preempt(const Candidate& candidate, const PlacementRequest& wanted)
{
    const auto costOf = [](const std::vector<Victim>& victims) {
        double cost = 0;
        for (const Victim& victim : victims)
            cost += victim.cost_;
        return cost;
    };
    std::vector<Victim> best;
    for (const auto& [rack, members] : view_.racks()) {
        std::vector<Victim> chosen = choose(candidate, wanted, rack);
        if (!chosen.empty() && (best.empty() || costOf(chosen) < costOf(best)))
            best = std::move(chosen);
    }
    const bool maySpanRacks = wanted.taskCount_ > 1 && (!wanted.step_->wantsOneRack_ || wanted.maySpanRacks_);
    if (best.empty() && maySpanRacks)
        best = choose(candidate, wanted, {});
    for (const Victim& victim : best) {
        addVictimRoom(victim, true);
        state_.stopUnit(*victim.job_, victim.unit_, "its room goes to urgent job " + candidate.job_->id_, now_);
    }
    return !best.empty();
}

}
