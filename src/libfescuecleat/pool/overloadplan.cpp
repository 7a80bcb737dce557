#include "pool/overloadplan.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace fescuecleat {

namespace {

    /**
     * Work that is due may exceed the capacity by this factor before a job is postponed: estimates are off by half, and
     * a job that is postponed without need is late for certain.
     */
    constexpr double postponeMargin = 1.5;
    /** A postponed job becomes due again only if its work and this share more fits, so that small changes don't switch it. */
    constexpr double resumeMargin = 1.15;
    /** Weight of a job's share of the work against that of the waiting caller, both 1 for a job of mean size. */
    constexpr double workWeight = 1;

    /** Bounds the time of a plan; more postponements are taken back by the next plans. */
    constexpr int maxResumed = 64;

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    double countedWork(const OverloadJob& job) { return job.waitingWork_ * (job.wasPostponed_ ? resumeMargin : 1); }

    /** What the pool can still do until a time, beside the runs in progress. */
    class Capacity {
    public:
        /** Considers runs up to `maxRank` only; others can be preempted. */
        Capacity(const std::vector<OverloadRun>& runs, int maxRank, double rate)
            : rate_(rate)
        {
            std::vector<const OverloadRun*> sorted;
            for (const OverloadRun& run : runs) {
                if (run.rank_ <= maxRank)
                    sorted.push_back(&run);
            }
            std::sort(sorted.begin(), sorted.end(), [](const OverloadRun* left, const OverloadRun* right) { return left->secondsLeft_ < right->secondsLeft_; });
            double ended = 0;
            double endedShare = 0;
            for (const OverloadRun* run : sorted)
                share_ += run->share_;
            for (const OverloadRun* run : sorted) {
                ended += run->share_ * run->secondsLeft_;
                endedShare += run->share_;
                ends_.push_back({ run->secondsLeft_, ended, endedShare });
            }
        }

        /** Pool-seconds that are free within the next `time` seconds. */
        double until(double time) const
        {
            const auto next = std::upper_bound(ends_.begin(), ends_.end(), time, [](double value, const End& end) { return value < end.secondsLeft_; });
            const End ended = next == ends_.begin() ? End {} : *std::prev(next);
            const double occupied = ended.work_ + (share_ - ended.share_) * time;
            return std::max(0.0, rate_ * time - occupied);
        }

    private:
        struct End {
            double secondsLeft_ = 0;
            /** Work and share of the runs that have ended by then. */
            double work_ = 0;
            double share_ = 0;
        };

        double rate_;
        double share_ = 0;
        std::vector<End> ends_;
    };

    /** The jobs of one rank that are to be in time, ordered by how much capacity their postponement frees. */
    class Selection {
    public:
        Selection(const OverloadInput& input, double meanWork)
            : input_(input)
            , meanWork_(meanWork)
        {
        }

        double work() const { return work_; }

        void add(std::size_t index)
        {
            const OverloadJob& job = input_.jobs_[index];
            work_ += countedWork(job);
            if (!job.mayBePostponed_ || countedWork(job) <= 0)
                return;
            byWork_.emplace(countedWork(job), index);
            byCost_.emplace(cost(job) / countedWork(job), index);
        }

        /** Removes and returns the job that costs least for its work, or for the part of `excess` that it frees. */
        std::optional<std::size_t> removeCheapest(double excess, bool isExcessOnly)
        {
            // Of the jobs that free all of it, the smallest costs least; of the others, the largest or the one of least cost for its work.
            std::vector<std::size_t> candidates;
            const auto enough = byWork_.lower_bound({ excess, 0 });
            if (isExcessOnly && enough != byWork_.end())
                candidates.push_back(enough->second);
            if (isExcessOnly && enough != byWork_.begin())
                candidates.push_back(std::prev(enough)->second);
            if (!byCost_.empty())
                candidates.push_back(byCost_.begin()->second);
            if (candidates.empty())
                return std::nullopt;
            const auto costOfExcess = [&](std::size_t index) {
                const OverloadJob& job = input_.jobs_[index];
                return std::make_pair(cost(job) / std::min(excess, countedWork(job)), index);
            };
            const std::size_t cheapest = *std::min_element(candidates.begin(), candidates.end(), [&](std::size_t left, std::size_t right) { return costOfExcess(left) < costOfExcess(right); });
            const OverloadJob& job = input_.jobs_[cheapest];
            work_ -= countedWork(job);
            byWork_.erase({ countedWork(job), cheapest });
            byCost_.erase({ cost(job) / countedWork(job), cheapest });
            return cheapest;
        }

        /** What the delay of a job costs its caller, as a multiple of what it costs any waiting caller. */
        double cost(const OverloadJob& job) const { return 1 + workWeight * job.wholeWork_ / meanWork_; }

    private:
        const OverloadInput& input_;
        double meanWork_;
        double work_ = 0;
        std::set<std::pair<double, std::size_t>> byWork_;
        std::set<std::pair<double, std::size_t>> byCost_;
    };

    double meanWorkOf(const OverloadInput& input, const std::vector<std::size_t>& jobs)
    {
        double sum = 0;
        for (const std::size_t index : jobs)
            sum += input.jobs_[index].wholeWork_;
        return std::max(sum / static_cast<double>(jobs.size()), 1e-9);
    }

    /** The jobs of one rank in the order of their due times, and the capacity until then with the margin. */
    struct DueJob {
        std::size_t index_ = 0;
        double available_ = 0;
        bool isPostponed_ = false;
    };

    /** Postpones jobs until the work due by each time fits; returns what their delay costs. */
    double postpone(const OverloadInput& input, std::vector<DueJob>& jobs, double meanWork, bool isExcessOnly)
    {
        double cost = 0;
        std::unordered_map<std::size_t, DueJob*> byIndex;
        Selection selection(input, meanWork);
        for (DueJob& job : jobs) {
            byIndex[job.index_] = &job;
            selection.add(job.index_);
            while (selection.work() > job.available_) {
                const auto cheapest = selection.removeCheapest(selection.work() - job.available_, isExcessOnly);
                if (!cheapest)
                    break;
                byIndex.at(*cheapest)->isPostponed_ = true;
                cost += selection.cost(input.jobs_[*cheapest]);
            }
        }
        return cost;
    }

    /**
     * Takes back postponements that help nobody: of jobs that probably miss their own due times, but beside which all
     * others can be in time.
     */
    void resumeHarmless(const OverloadInput& input, std::vector<DueJob>& jobs)
    {
        // The least capacity that is left at the due time of a job or a later one; what can't be in time anyway has no say.
        std::vector<double> slack(jobs.size() + 1, std::numeric_limits<double>::max());
        const auto computeSlack = [&] {
            double work = 0;
            std::vector<double> own(jobs.size(), std::numeric_limits<double>::max());
            for (std::size_t i = 0; i < jobs.size(); ++i) {
                if (jobs[i].isPostponed_)
                    continue;
                work += countedWork(input.jobs_[jobs[i].index_]);
                if (work <= jobs[i].available_)
                    own[i] = jobs[i].available_ - work;
            }
            for (std::size_t i = jobs.size(); i-- > 0;)
                slack[i] = std::min(own[i], slack[i + 1]);
        };
        computeSlack();
        int resumed = 0;
        for (std::size_t i = 0; i < jobs.size() && resumed < maxResumed; ++i) {
            if (!jobs[i].isPostponed_ || countedWork(input.jobs_[jobs[i].index_]) > slack[i + 1])
                continue;
            jobs[i].isPostponed_ = false;
            ++resumed;
            computeSlack();
        }
    }

}

std::vector<std::size_t> planOverload(const OverloadInput& input)
{
    std::map<int, std::vector<std::size_t>> ranks;
    for (std::size_t i = 0; i < input.jobs_.size(); ++i)
        ranks[input.jobs_[i].rank_].push_back(i);
    std::vector<std::size_t> postponed;
    double higherWork = 0;
    for (auto& [rank, jobs] : ranks) {
        std::sort(jobs.begin(), jobs.end(), [&input](std::size_t left, std::size_t right) {
            return std::make_pair(input.jobs_[left].due_, left) < std::make_pair(input.jobs_[right].due_, right);
        });
        const Capacity capacity(input.runs_, rank, input.rate_);
        std::vector<DueJob> due;
        for (const std::size_t index : jobs) {
            const OverloadJob& job = input.jobs_[index];
            // A job that is late anyway comes after those in time, so it doesn't make others late.
            if (job.mayBePostponed_ && input.now_ + job.shortestRest_ > job.due_)
                continue;
            const double until = capacity.until(seconds(std::max(Duration::zero(), job.due_ - input.now_)));
            due.push_back({ index, postponeMargin * std::max(0.0, until - higherWork) });
        }
        // Freeing no more than is short saves large jobs where little is short; where much is short, many small ones would pay for one.
        std::vector<DueJob> largerFirst = due;
        const double meanWork = meanWorkOf(input, jobs);
        const double cost = postpone(input, due, meanWork, true);
        if (cost > 0 && postpone(input, largerFirst, meanWork, false) < cost)
            due = std::move(largerFirst);
        resumeHarmless(input, due);
        for (const DueJob& job : due) {
            if (job.isPostponed_)
                postponed.push_back(job.index_);
        }
        for (const std::size_t index : jobs)
            higherWork += input.jobs_[index].waitingWork_;
    }
    std::sort(postponed.begin(), postponed.end());
    return postponed;
}

}
