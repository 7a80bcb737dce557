#include "scheduler/indexedfinder.h"
#include "scheduler/schedulercore.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <popt.h>
#include <queue>
#include <random>
#include <string>
#include <vector>

// Feeds seeded arrivals and completions to the decision core in virtual time
// and prints what users and operators would see of it. Workers answer at once;
// there is no model of networks or processes.

namespace fescuecleat {

namespace {

    using std::chrono::hours;
    using std::chrono::minutes;
    using std::chrono::seconds;

    constexpr Duration day = hours(24);

    /** One kind of job of a deployment's mix. */
    struct JobKind {
        std::string name_;
        /** Part of all jobs. */
        double share_ = 0;
        int tasks_ = 1;
        TaskShape shape_;
        Adjacency adjacency_ = Adjacency::Any;
        Duration medianRun_ {};
        bool isUrgent_ = false;
        bool isIdempotent_ = true;
    };

    /** A deployment's workers, organisations and work. */
    struct Deployment {
        std::string name_;
        int workers_ = 0;
        int workersPerRack_ = 8;
        std::function<WorkerCapacity(int)> capacity_;
        std::vector<OrganisationConfiguration> organisations_;
        std::vector<JobKind> kinds_;
        double jobsPerDay_ = 0;
    };

    TaskShape shapeOf(int accelerators, int cores, int gigabytes)
    {
        return TaskShape { accelerators, cores * std::int64_t { 1000 }, static_cast<std::int64_t>(gigabytes) << 30 };
    }

    std::vector<OrganisationConfiguration> organisationsOf(const std::vector<std::vector<CellCount>>& guarantees)
    {
        std::vector<OrganisationConfiguration> organisations;
        for (std::size_t i = 0; i < guarantees.size(); ++i) {
            OrganisationConfiguration organisation;
            organisation.id_ = OrganisationId("organisation" + std::to_string(i));
            organisation.guarantee_ = guarantees[i];
            organisations.push_back(organisation);
        }
        return organisations;
    }

    /** One data centre's 17 of Pietralogica's 50 workers. */
    Deployment pietralogica(double load)
    {
        Deployment deployment;
        deployment.name_ = "pietralogica";
        deployment.workers_ = 17;
        deployment.capacity_ = [](int) { return WorkerCapacity { 8, 64000, 256LL << 30 }; };
        deployment.organisations_ = organisationsOf({ { { CellLevel::Worker, 4 } }, { { CellLevel::Worker, 2 }, { CellLevel::Quad, 2 } }, { { CellLevel::Worker, 1 }, { CellLevel::Pair, 2 } }, { { CellLevel::Quad, 1 } } });
        deployment.kinds_ = {
            { "crack-map check", 0.62, 1, shapeOf(1, 4, 16), Adjacency::Any, minutes(6), true, true },
            { "thermal batch", 0.22, 2, shapeOf(2, 8, 32), Adjacency::Any, minutes(40), false, false },
            { "reconstruction", 0.12, 1, shapeOf(8, 48, 192), Adjacency::SameWorker, hours(5), false, true },
            { "large reconstruction", 0.04, 4, shapeOf(8, 48, 192), Adjacency::SameRack, hours(6), false, true },
        };
        deployment.jobsPerDay_ = 420 * load;
        return deployment;
    }

    /** One data centre's 17 of Coralbine's 50 workers. */
    Deployment coralbine(double load)
    {
        Deployment deployment;
        deployment.name_ = "coralbine";
        deployment.workers_ = 17;
        deployment.capacity_ = [](int) { return WorkerCapacity { 8, 64000, 128LL << 30 }; };
        deployment.organisations_ = organisationsOf({ { { CellLevel::Worker, 3 } }, { { CellLevel::Worker, 2 }, { CellLevel::Quad, 2 } }, { { CellLevel::Quad, 3 } }, { { CellLevel::Pair, 4 } } });
        deployment.kinds_ = {
            { "reprice", 0.80, 1, shapeOf(1, 2, 4), Adjacency::Any, minutes(2), true, true },
            { "menu refresh", 0.14, 2, shapeOf(2, 8, 16), Adjacency::Any, minutes(25), false, false },
            { "competitor check", 0.04, 1, shapeOf(4, 24, 32), Adjacency::Any, minutes(90), false, true },
            { "forecast", 0.02, 2, shapeOf(8, 48, 96), Adjacency::SameRack, hours(5), false, true },
        };
        deployment.jobsPerDay_ = 2000 * load;
        return deployment;
    }

    /** The target's whole size in one scheduler, `scale` times. */
    Deployment target(double load, double scale)
    {
        Deployment deployment;
        deployment.name_ = "target";
        deployment.workers_ = static_cast<int>(1300 * scale);
        // 1,700 accelerators: 200 workers of 8, 50 of 2, the rest without.
        deployment.capacity_ = [](int index) { return index % 26 < 4 ? WorkerCapacity { 8, 64000, 256LL << 30 } : index % 26 == 4 ? WorkerCapacity { 2, 64000, 256LL << 30 }
                                                                                                                                  : WorkerCapacity { 0, 64000, 256LL << 30 }; };
        constexpr int teams = 45;
        std::vector<std::vector<CellCount>> guarantees;
        guarantees.reserve(teams);
        for (int i = 0; i < teams; ++i)
            guarantees.push_back({ { CellLevel::Worker, std::max(1, static_cast<int>((i % 9 == 0 ? 6 : 2) * scale)) }, { CellLevel::Quad, 1 } });
        deployment.organisations_ = organisationsOf(guarantees);
        deployment.kinds_ = {
            { "urgent", 0.05, 1, shapeOf(1, 8, 16), Adjacency::Any, minutes(10), true, true },
            { "processors", 0.35, 48, shapeOf(0, 4, 8), Adjacency::Any, hours(3), false, true },
            { "small", 0.40, 2, shapeOf(2, 8, 32), Adjacency::Any, hours(2), false, true },
            { "worker", 0.15, 1, shapeOf(8, 48, 128), Adjacency::SameWorker, hours(4), false, true },
            { "large", 0.05, 8, shapeOf(8, 48, 128), Adjacency::Any, hours(4), false, true },
        };
        deployment.jobsPerDay_ = 3600 * scale * load;
        return deployment;
    }

    /** Baselines: workers in the order in which they joined, or the fullest first; no policy beside. */
    class BaselineFinder : public PlacementFinder {
    public:
        explicit BaselineFinder(bool isBestFit)
            : isBestFit_(isBestFit)
        {
        }

        std::optional<Placement> findFree(const FreeQuery& query, WorkerTable& workers) override
        {
            std::vector<Slot> slots;
            for (int index = 0; index < workers.size(); ++index) {
                Slot slot = freeSlot(workers.at(index), query.demand_.shape_, false);
                slot.rank_ = isBestFit_ ? countAccelerators(slot.usable_) : index;
                slots.push_back(slot);
            }
            return fillSlots(slots, query.demand_);
        }
        std::unique_ptr<PlacementFinder> fresh() const override { return std::make_unique<BaselineFinder>(isBestFit_); }

    private:
        bool isBestFit_;
    };

    double percentile(std::vector<double> values, double share)
    {
        if (values.empty())
            return 0;
        std::sort(values.begin(), values.end());
        return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
    }

    /** One job of the run, as the world outside the scheduler sees it. */
    struct SimulatedJob {
        JobSpec spec_;
        std::size_t kind_ = 0;
        Time submitted_;
        Duration wholeRun_ {};
        /** Share that a checkpoint holds. */
        double share_ = 0;
        Time runningSince_ = Time::max();
        bool wasRunning_ = false;
        bool isWithinGuarantee_ = false;
        int attempt_ = 0;
    };

    /** One run over virtual time. */
    class Simulation {
    public:
        Simulation(const Deployment& deployment, std::unique_ptr<PlacementFinder> finder, bool hasPolicy, unsigned seed)
            : deployment_(deployment)
            , core_(std::move(finder))
            , hasPolicy_(hasPolicy)
            , random_(seed)
            , completion_(deployment.kinds_.size())
            , start_(deployment.kinds_.size())
        {
            Configuration configuration;
            if (hasPolicy)
                configuration.organisations_ = deployment.organisations_;
            else
                configuration.policy_.ageingTime_ = hours(24 * 3650);
            checkpointTime_ = configuration.policy_.checkpointTime_;
            handle(ConfigurationChanged { configuration });
            handle(StartPermitExtended { now_ + 3650 * day });
            for (int i = 0; i < deployment.workers_; ++i)
                handle(WorkerJoined { WorkerId("w" + std::to_string(10000 + i)), RackId("r" + std::to_string(i / deployment.workersPerRack_)), deployment.capacity_(i) });
        }

        /** Takes the data centre out for a while: when, how long it has to empty, how long it stays out. */
        void planOutage(Time at, Duration toLeave, Duration away)
        {
            outageAt_ = at;
            outageDeadline_ = at + toLeave;
            outageEnds_ = at + away;
        }

        void run(Duration length)
        {
            const Time end = now_ + length;
            Time nextArrival = now_ + exponential();
            Time nextSample = now_ + minutes(10);
            while (now_ < end) {
                now_ = std::min({ end, nextArrival, nextSample, std::max(core_.nextDeadline(), now_ + std::chrono::milliseconds(1)), completions_.empty() ? Time::max() : completions_.top().first, outageAt_, outageEnds_ });
                if (now_ >= outageAt_) {
                    handle(DataCentreTakenOut { outageDeadline_ });
                    outageAt_ = Time::max();
                } else if (now_ >= outageEnds_) {
                    handle(DataCentreReturned {});
                    outageEnds_ = Time::max();
                } else if (!completions_.empty() && completions_.top().first <= now_) {
                    complete(completions_.top().second);
                } else if (now_ >= nextArrival) {
                    arrive();
                    nextArrival = now_ + exponential();
                } else if (now_ >= nextSample) {
                    sample();
                    nextSample = now_ + minutes(10);
                } else {
                    handle(Tick {});
                }
            }
        }

        void print(const char* policy, unsigned seed) const
        {
            std::printf("%s %s seed %u: %d jobs ended, %zu waiting\n", deployment_.name_.c_str(), policy, seed, ended_, core_.state().queue_.size());
            for (std::size_t kind = 0; kind < completion_.size(); ++kind)
                std::printf("  %-22s completion h p50 %.2f p95 %.2f p99 %.2f  start s p50 %.0f p99 %.0f  (%zu)\n", deployment_.kinds_[kind].name_.c_str(),
                    percentile(completion_[kind], 0.5), percentile(completion_[kind], 0.95), percentile(completion_[kind], 0.99),
                    percentile(start_[kind], 0.5), percentile(start_[kind], 0.99), completion_[kind].size());
            std::printf("  stranded share of all accelerators: mean %.4f, first third %.4f, last third %.4f; in use %.3f\n", mean(stranded_, 0, 1), mean(stranded_, 0, 1.0 / 3), mean(stranded_, 2.0 / 3, 1), mean(used_, 0, 1));
            std::printf("  guarantee to running s: p50 %.0f p99 %.0f max %.0f (%zu); work done %.0f accelerator-h, lost %.1f; preempted %d\n", percentile(guaranteeWait_, 0.5), percentile(guaranteeWait_, 0.99), percentile(guaranteeWait_, 1), guaranteeWait_.size(), workDone_, workLost_, preempted_);
            std::printf("  decision us: p50 %.1f p99 %.1f max %.0f over %zu events; running tasks at the end %d\n", percentile(decision_, 0.5), percentile(decision_, 0.99), percentile(decision_, 1), decision_.size(), runningTasks());
            std::fflush(stdout);
        }

        double workDone() const { return workDone_; }
        double workLost() const { return workLost_; }

    private:
        using Completion = std::pair<Time, std::pair<JobId, int>>;

        static double mean(const std::vector<double>& values, double from, double to)
        {
            const auto first = static_cast<std::size_t>(from * static_cast<double>(values.size()));
            const auto last = static_cast<std::size_t>(to * static_cast<double>(values.size()));
            double sum = 0;
            for (std::size_t i = first; i < last; ++i)
                sum += values[i];
            return last > first ? sum / static_cast<double>(last - first) : 0;
        }

        Duration exponential()
        {
            const double rate = deployment_.jobsPerDay_ / static_cast<double>(day.count());
            return Duration(1 + static_cast<Duration::rep>(std::exponential_distribution<double>(rate)(random_)));
        }

        void handle(const SchedulerEvent& event)
        {
            const auto begin = std::chrono::steady_clock::now();
            std::vector<SchedulerAction> actions = core_.handle(event, now_);
            decision_.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count());
            for (const SchedulerAction& action : actions)
                pending_.push_back(action);
            if (isAnswering_)
                return;
            isAnswering_ = true;
            while (!pending_.empty()) {
                const SchedulerAction action = pending_.front();
                pending_.pop_front();
                answer(action);
            }
            isAnswering_ = false;
        }

        void report(const TaskKey& task, const WorkerId& worker, TaskState state, double share = 0)
        {
            TaskReported reported;
            reported.task_ = task;
            reported.worker_ = worker;
            reported.state_ = state;
            reported.checkpointedShare_ = share;
            handle(reported);
        }

        void answer(const SchedulerAction& action)
        {
            if (const auto* prepare = std::get_if<PrepareTask>(&action)) {
                report(prepare->task_, prepare->worker_, TaskState::Prepared);
            } else if (const auto* start = std::get_if<StartTask>(&action)) {
                report(start->task_, start->worker_, TaskState::Running);
            } else if (const auto* checkpoint = std::get_if<CheckpointTask>(&action)) {
                const auto job = jobs_.find(checkpoint->task_.job_);
                if (job != jobs_.end())
                    report(checkpoint->task_, checkpoint->worker_, TaskState::Checkpointed, progress(job->second));
            } else if (const auto* stop = std::get_if<StopTask>(&action)) {
                report(stop->task_, stop->worker_, TaskState::Stopped);
            } else if (const auto* record = std::get_if<RecordJob>(&action)) {
                recorded(*record);
            }
        }

        double progress(const SimulatedJob& job) const
        {
            if (job.runningSince_ == Time::max())
                return job.share_;
            return std::min(1.0, job.share_ + static_cast<double>((now_ - job.runningSince_).count()) / static_cast<double>(job.wholeRun_.count()));
        }

        double acceleratorHours(const SimulatedJob& job, double share) const
        {
            return share * job.spec_.tasks_ * job.spec_.shape_.accelerators_ * std::chrono::duration<double, std::ratio<3600>>(job.wholeRun_).count();
        }

        void recorded(const RecordJob& record)
        {
            const auto position = jobs_.find(record.job_);
            if (position == jobs_.end())
                return;
            SimulatedJob& job = position->second;
            if (record.state_ == JobState::Running) {
                began(job, record);
                return;
            }
            if (record.state_ == JobState::Placed || record.state_ == JobState::Prepared)
                return;
            if (job.runningSince_ != Time::max()) {
                const double reached = progress(job);
                const double kept = record.state_ == JobState::Finished ? 1 : record.checkpointedShare_;
                workDone_ += acceleratorHours(job, std::max(0.0, kept - job.share_));
                workLost_ += acceleratorHours(job, std::max(0.0, reached - std::max(kept, job.share_)));
                job.share_ = std::max(job.share_, kept);
                job.runningSince_ = Time::max();
                preempted_ += static_cast<int>(record.state_ != JobState::Finished);
            }
            if (!isFinal(record.state_))
                return;
            ++ended_;
            if (record.state_ == JobState::Finished)
                completion_[job.kind_].push_back(std::chrono::duration<double, std::ratio<3600>>(now_ - job.submitted_).count());
            jobs_.erase(position);
        }

        void began(SimulatedJob& job, const RecordJob& record)
        {
            job.runningSince_ = now_;
            job.attempt_ = record.attempt_;
            const auto left = Duration(1 + static_cast<Duration::rep>(static_cast<double>(job.wholeRun_.count()) * (1 - job.share_)));
            completions_.emplace(now_ + left, std::make_pair(record.job_, record.attempt_));
            if (job.wasRunning_)
                return;
            job.wasRunning_ = true;
            const double waited = std::chrono::duration<double>(now_ - job.submitted_).count();
            start_[job.kind_].push_back(waited);
            if (job.isWithinGuarantee_)
                guaranteeWait_.push_back(waited);
        }

        void complete(const std::pair<JobId, int>& which)
        {
            const std::pair<JobId, int> ending = which;
            completions_.pop();
            const auto job = jobs_.find(ending.first);
            if (job == jobs_.end() || job->second.attempt_ != ending.second || job->second.runningSince_ == Time::max())
                return;
            const JobEntry* entry = core_.state().findJob(ending.first);
            if (!entry || entry->phase_ == JobPhase::Queued || entry->attempts_ != ending.second)
                return;
            const std::vector<GangTask> tasks = entry->tasks_;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                const WorkerId worker = core_.state().workers_.at(tasks[index].worker_).id();
                report(TaskKey { ending.first, ending.second, static_cast<int>(index) }, worker, TaskState::Finished, 1);
            }
        }

        void arrive()
        {
            std::vector<double> shares;
            for (const JobKind& kind : deployment_.kinds_)
                shares.push_back(kind.share_);
            const std::size_t kind = std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(random_);
            const JobKind& drawn = deployment_.kinds_[kind];
            SimulatedJob job;
            job.kind_ = kind;
            job.submitted_ = now_;
            job.wholeRun_ = Duration(1 + static_cast<Duration::rep>(static_cast<double>(drawn.medianRun_.count()) * std::lognormal_distribution<double>(0, 0.6)(random_)));
            JobSpec& spec = job.spec_;
            spec.id_ = JobId("j" + std::to_string(1000000 + arrived_++));
            // Half of the work comes from the first organisation.
            const std::size_t organisations = deployment_.organisations_.size();
            const bool isFirst = std::bernoulli_distribution(0.3)(random_);
            spec.organisation_ = deployment_.organisations_[isFirst ? 0 : std::uniform_int_distribution<std::size_t>(0, organisations - 1)(random_)].id_;
            spec.tasks_ = drawn.tasks_;
            spec.shape_ = drawn.shape_;
            spec.adjacency_ = drawn.adjacency_;
            spec.isUrgent_ = hasPolicy_ && drawn.isUrgent_;
            spec.isIdempotent_ = drawn.isIdempotent_;
            // Declared run times are off by a factor of up to about four.
            spec.declaredRunTime_ = Duration(1 + static_cast<Duration::rep>(static_cast<double>(job.wholeRun_.count()) * std::lognormal_distribution<double>(0, 0.7)(random_)));
            const auto slots = core_.state().ledger_.reclaimableSlots(spec.organisation_, core_.state().workers_);
            job.isWithinGuarantee_ = fillSlots(slots, GangDemand { spec.shape_, spec.tasks_, spec.adjacency_ }).has_value();
            jobs_[spec.id_] = job;
            JobSubmitted submitted;
            submitted.spec_ = spec;
            submitted.submitted_ = now_;
            handle(submitted);
        }

        /** Stranded: free accelerators outside of wholly free workers, while a job that needs a whole worker could come. */
        void sample()
        {
            int all = 0;
            int free = 0;
            int usable = 0;
            for (int index = 0; index < core_.state().workers_.size(); ++index) {
                const WorkerState& worker = core_.state().workers_.at(index);
                const int capacity = worker.capacity().accelerators_;
                const int freeHere = countAccelerators(worker.freeAccelerators());
                all += capacity;
                free += freeHere;
                usable += freeHere == capacity ? capacity : 0;
            }
            stranded_.push_back(static_cast<double>(free - usable) / std::max(1, all));
            used_.push_back(1 - static_cast<double>(free) / std::max(1, all));
        }

        int runningTasks() const
        {
            int count = 0;
            for (const auto& [id, entry] : core_.state().jobs_)
                count += entry.phase_ == JobPhase::Running ? entry.spec_.tasks_ : 0;
            return count;
        }

        const Deployment& deployment_;
        SchedulerCore core_;
        bool hasPolicy_;
        std::mt19937 random_;
        Time now_ { hours(1) };
        Duration checkpointTime_ {};
        Time outageAt_ = Time::max();
        Time outageDeadline_ = Time::max();
        Time outageEnds_ = Time::max();
        std::map<JobId, SimulatedJob> jobs_;
        std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions_;
        std::deque<SchedulerAction> pending_;
        bool isAnswering_ = false;
        int arrived_ = 0;
        int ended_ = 0;
        int preempted_ = 0;
        double workDone_ = 0;
        double workLost_ = 0;
        std::vector<std::vector<double>> completion_;
        std::vector<std::vector<double>> start_;
        std::vector<double> guaranteeWait_;
        std::vector<double> stranded_;
        std::vector<double> used_;
        std::vector<double> decision_;
    };

    std::unique_ptr<PlacementFinder> finderOf(const std::string& policy)
    {
        if (policy == "fescuecleat")
            return std::make_unique<IndexedFinder>();
        return std::make_unique<BaselineFinder>(policy == "bestfit");
    }

    Deployment deploymentOf(const std::string& name, double load, double scale)
    {
        if (name == "coralbine")
            return coralbine(load);
        return name == "target" ? target(load, scale) : pietralogica(load);
    }

}

}

int main(int argc, const char** argv)
{
    using namespace fescuecleat;
    const char* name = "pietralogica";
    const char* policy = "fescuecleat";
    int seeds = 3;
    int days = 30;
    double load = 1;
    double scale = 1;
    int outageMinutes = 0;
    const poptOption options[] = {
        { "deployment", 'd', POPT_ARG_STRING, &name, 0, "pietralogica, coralbine or target", nullptr },
        { "policy", 'p', POPT_ARG_STRING, &policy, 0, "fescuecleat, firstfit or bestfit", nullptr },
        { "seeds", 's', POPT_ARG_INT, &seeds, 0, "number of seeds", nullptr },
        { "days", 't', POPT_ARG_INT, &days, 0, "virtual days", nullptr },
        { "load", 'l', POPT_ARG_DOUBLE, &load, 0, "factor on the arrivals", nullptr },
        { "scale", 'x', POPT_ARG_DOUBLE, &scale, 0, "factor on the target's size", nullptr },
        { "outage", 'o', POPT_ARG_INT, &outageMinutes, 0, "minutes to empty the data centre half way through; it is away for six hours", nullptr },
        POPT_AUTOHELP POPT_TABLEEND
    };
    poptContext context = poptGetContext("schedulerbench", argc, argv, options, 0);
    const int result = poptGetNextOpt(context);
    poptFreeContext(context);
    if (result < -1)
        return 2;
    const Deployment deployment = deploymentOf(name, load, scale);
    for (unsigned seed = 1; seed <= static_cast<unsigned>(seeds); ++seed) {
        Simulation simulation(deployment, finderOf(policy), std::string(policy) == "fescuecleat", seed);
        if (outageMinutes > 0)
            simulation.planOutage(Time(std::chrono::hours(1)) + days * day / 2, std::chrono::minutes(outageMinutes), std::chrono::hours(6));
        simulation.run(days * day);
        simulation.print(policy, seed);
    }
    return 0;
}
