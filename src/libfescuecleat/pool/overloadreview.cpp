#include "pool/overloadreview.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace fescuecleat {

namespace {

    /** Passes follow each other within milliseconds, in which the work hardly changes. */
    constexpr Duration planInterval = std::chrono::milliseconds(100);
    /** A postponed job is placed with those in time after this share of the way from its target to the expiry of its credit. */
    constexpr double postponementShare = 0.5;
    /** Rate until the pool has shown one: gangs, racks and the headroom leave about a tenth unused. */
    constexpr double initialRate = 0.9;
    /** A lower rate is not believed: what keeps work from starting then is not the pool's capacity. */
    constexpr double minRate = 0.8;
    /** Time over which the rate is averaged, about that of a task. */
    constexpr double rateSeconds = 8;

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}

OverloadReview::OverloadReview(PoolState& state, RankOf rankOf, int guaranteedRank, Time now)
    : state_(state)
    , rankOf_(std::move(rankOf))
    , guaranteedRank_(guaranteedRank)
    , now_(now)
{
}

Time OverloadReview::postponementEnd(const Job& job)
{
    return job.targetCompletion_ + std::chrono::duration_cast<Duration>((job.creditExpiry_ - job.targetCompletion_) * postponementShare);
}

bool OverloadReview::isPostponementOver(const OverloadState& overload, const Job& job, int rank, Time now)
{
    return overload.isEnabled_ && job.hasTarget() && now >= postponementEnd(job)
        && (overload.everPostponed_.count(job.id_) > 0 || overload.overloadedRanks_.count(rank) > 0);
}

void OverloadReview::run()
{
    OverloadState& overload = state_.overload_;
    if (!overload.isEnabled_ || now_ < overload.plannedAt_ + planInterval)
        return;
    const PoolShare share(state_.workers_, state_.closedDataCentres_);
    if (!share.isKnown())
        return;
    addJobs(share);
    addRuns(share);
    observeRate();
    input_.now_ = now_;
    input_.rate_ = rate();
    overload.plannedAt_ = now_;
    overload.backlogSeconds_ = 0;
    for (const OverloadJob& job : input_.jobs_)
        overload.backlogSeconds_ += job.waitingWork_;
    std::set<std::string> postponed;
    overload.overloadedRanks_.clear();
    for (const std::size_t index : planOverload(input_)) {
        postponed.insert(jobs_[index]->id_);
        overload.overloadedRanks_.insert(input_.jobs_[index].rank_);
        if (!overload.everPostponed_.insert(jobs_[index]->id_).second)
            continue;
        ++overload.postponedJobs_;
        const JobPolicy& policy = jobs_[index]->policy_;
        state_.decisions_.postponedJobs_.push_back({ jobs_[index]->id_, policy.queue_, policy.organisation_, input_.jobs_[index].waitingWork_, overload.backlogSeconds_, input_.rate_ });
    }
    overload.postponed_ = std::move(postponed);
    for (auto id = overload.everPostponed_.begin(); id != overload.everPostponed_.end();) {
        const Job* const job = state_.findJob(*id);
        id = job == nullptr || !job->isOpen() ? overload.everPostponed_.erase(id) : std::next(id);
    }
}

void OverloadReview::addJobs(const PoolShare& share)
{
    for (const auto& [id, job] : state_.jobs_) {
        if (!job.isOpen() || !job.progress_.hasWaiting())
            continue;
        const RemainingWork rest = remainingWork(job, share, now_);
        OverloadJob entry;
        entry.rank_ = rankOf_(job);
        const bool isOver = isPostponementOver(state_.overload_, job, entry.rank_, now_);
        // Those that have no target, or can't earn anything any more, come after the others like late ones.
        entry.due_ = job.hasTarget() && now_ <= job.creditExpiry_ ? job.targetCompletion_ : Time {};
        entry.waitingWork_ = rest.waitingWork_;
        entry.wholeWork_ = share.wholeWork(job.spec_);
        entry.shortestRest_ = rest.criticalPath_;
        entry.mayBePostponed_ = entry.rank_ != guaranteedRank_ && (!isOver || now_ > job.creditExpiry_);
        entry.wasPostponed_ = state_.overload_.postponed_.count(id) > 0;
        input_.jobs_.push_back(entry);
        jobs_.push_back(&job);
        waitingShare_ += rest.readyShare_;
    }
}

void OverloadReview::addRuns(const PoolShare& share)
{
    // Runs are ordered by job, so each job is looked up once.
    const Job* job = nullptr;
    int rank = 0;
    for (const auto& [id, run] : state_.runs_) {
        if (job == nullptr || job->id_ != id.task_.job_) {
            job = state_.findJob(id.task_.job_);
            if (job == nullptr)
                continue;
            rank = rankOf_(*job);
        }
        const StepSpec& step = job->step(id.task_.step_);
        const double runShare = share.of(run.resources_);
        const double left = step.isLongRunning_ ? std::numeric_limits<double>::max() : remainingSeconds(run, step.estimate_, now_);
        input_.runs_.push_back({ rank, runShare, left });
        usedShare_ += runShare;
    }
}

void OverloadReview::observeRate()
{
    OverloadState& overload = state_.overload_;
    // A single gang that waits for a rack doesn't show what the pool can do.
    if (!overload.isShort_ || usedShare_ + waitingShare_ < 1)
        return;
    const double passed = std::min(seconds(now_ - overload.packedAt_), rateSeconds);
    const double weight = overload.packedAt_ == Time {} ? 1 : passed / (passed + rateSeconds);
    overload.packedShare_ += weight * (usedShare_ - overload.packedShare_);
    overload.packedAt_ = now_;
}

double OverloadReview::rate() const
{
    if (state_.overload_.packedAt_ == Time {})
        return initialRate;
    return std::max(minRate, state_.overload_.packedShare_);
}

}
