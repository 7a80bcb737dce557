#include "pool/backlog.h"

#include "pool/overloadreview.h"
#include "pool/remainingwork.h"

#include <algorithm>
#include <tuple>

namespace fescuecleat {

namespace {

    /** A view of a backlog may be this old. */
    constexpr double maxViewSeconds = 2;
    /** Lower bound of the real work as a share of the estimate: estimates are off by half. */
    constexpr double minWorkShare = 0.5;
    constexpr std::int64_t bucketMs = 1000;

    std::int64_t roundUpToSecond(std::int64_t ms)
    {
        const std::int64_t rest = ((ms % bucketMs) + bucketMs) % bucketMs;
        return rest == 0 ? ms : ms + bucketMs - rest;
    }

    /** The latest of the latest starts of the steps that wait, as only that one is certainly not earlier than others' work. */
    Time lastLatestStart(const Job& job)
    {
        Duration shortest = job.step(*job.progress_.waitingSteps().begin()).estimate_;
        for (const int step : job.progress_.waitingSteps())
            shortest = std::min(shortest, job.step(step).estimate_);
        return job.targetCompletion_ - shortest;
    }

    BacklogPlace placeOf(const PoolState& state, const Job& job, Time latestStart, Time now)
    {
        const int rank = job.policy_.priority_ + 1; // of a job beyond its organisation's guarantee
        if (now <= job.creditExpiry_ && OverloadReview::isPostponementOver(state.overload_, job, rank, now))
            return BacklogPlace::First;
        return latestStart >= now && state.overload_.postponed_.count(job.id_) == 0 ? BacklogPlace::InTime : BacklogPlace::Behind;
    }

    using Bucket = std::tuple<int, BacklogPlace, std::int64_t>;

}

double Backlog::waitingWork() const
{
    double work = 0;
    for (const auto& [queue, organisations] : waiting_) {
        for (const auto& [organisation, entries] : organisations) {
            for (const BacklogEntry& entry : entries)
                work += entry.work_;
        }
    }
    return work;
}

Backlog measureBacklog(const PoolState& state, double bestRate, Time now)
{
    Backlog backlog;
    const PoolShare share(state.workers_, state.closedDataCentres_);
    backlog.pool_ = share.total();
    if (!share.isKnown())
        return backlog;
    double used = 0;
    std::map<std::string, double> secondsLeft;
    for (const auto& [id, run] : state.runs_) {
        const auto job = state.jobs_.find(id.task_.job_);
        if (job == state.jobs_.end())
            continue;
        const StepSpec& step = job->second.step(id.task_.step_);
        const double left = remainingSeconds(run, step.estimate_, now);
        used += share.of(run.resources_);
        backlog.runningWork_[job->second.policy_.priority_] += step.isLongRunning_ ? 0 : share.of(run.resources_) * left;
        double& longest = secondsLeft[id.task_.job_];
        longest = std::max(longest, left);
    }
    std::map<std::tuple<std::string, std::string>, std::map<Bucket, BacklogEntry>> buckets;
    for (const auto& [id, job] : state.jobs_) {
        if (!job.isOpen())
            continue;
        const bool isWaiting = job.progress_.hasWaiting();
        const auto left = secondsLeft.find(id);
        if (job.policy_.priority_ == 0 && (isWaiting || (left != secondsLeft.end() && left->second * minWorkShare > maxViewSeconds)))
            backlog.urgentAccelerators_[job.policy_.organisation_] += job.peakAccelerators();
        // Jobs that recur or never end are not measured by their estimates.
        if (!isWaiting || !job.hasTarget())
            continue;
        const Time latestStart = lastLatestStart(job);
        BacklogEntry entry;
        entry.priority_ = job.policy_.priority_;
        entry.place_ = placeOf(state, job, latestStart, now);
        entry.latestStartMs_ = roundUpToSecond(wholeMilliseconds(latestStart - now));
        entry.expiryMs_ = wholeMilliseconds(job.creditExpiry_ - now);
        const auto [bucket, isNew] = buckets[{ job.policy_.queue_, job.policy_.organisation_ }].emplace(Bucket { entry.priority_, entry.place_, entry.latestStartMs_ }, entry);
        bucket->second.expiryMs_ = std::min(bucket->second.expiryMs_, entry.expiryMs_);
        bucket->second.work_ += remainingWork(job, share, now).waitingWork_;
    }
    for (const auto& [key, entries] : buckets) {
        std::vector<BacklogEntry>& waiting = backlog.waiting_[std::get<0>(key)][std::get<1>(key)];
        for (const auto& [bucket, entry] : entries)
            waiting.push_back(entry);
    }
    backlog.rate_ = used;
    backlog.bestRate_ = std::max(bestRate, used);
    return backlog;
}

}
