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

// Simulates seeded job arrivals and completions on the scheduler core in virtual
// time and prints completion times, fragmentation, lost work and decision times.
// Workers respond immediately; networks and processes are not modelled.

namespace fescuecleat {

namespace {

    using std::chrono::hours;
    using std::chrono::minutes;
    using std::chrono::seconds;

    constexpr Duration day = hours(24);

    /** One kind of job in the job mix of a deployment. */
    struct JobKind {
        std::string name_;
        /** Share of all jobs, 0 to 1. */
        double share_ = 0;
        int tasks_ = 1;
        TaskShape shape_;
        Adjacency adjacency_ = Adjacency::Any;
        Duration medianRun_ {};
        bool isUrgent_ = false;
        bool isIdempotent_ = true;
    };

    /** Workers, organisations and job mix of a deployment. */
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

    /** One data centre of Pietralogica, with 17 of its 50 workers. */
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

    /** One data centre of Coralbine, with 17 of its 50 workers. */
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

    /** The full target size, multiplied by `scale`, in one scheduler. */
    Deployment target(double load, double scale)
    {
        Deployment deployment;
        deployment.name_ = "target";
        deployment.workers_ = static_cast<int>(1300 * scale);
        // 1,700 accelerators: 200 workers with 8, 50 with 2, the others without.
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

    /** Baselines without further policy: first fit in join order, or best fit with the fewest free accelerators first. */
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
        std::unique_ptr<PlacementFinder> cloneEmpty() const override { return std::make_unique<BaselineFinder>(isBestFit_); }

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

    /** State of one simulated job, outside of the scheduler. */
    struct SimulatedJob {
        JobSpec spec_;
        std::size_t kind_ = 0;
        Time submitted_;
        Duration wholeRun_ {};
        /** Share of the work in the latest checkpoint, 0 to 1. */
        double checkpointedShare_ = 0;
        Time runningSince_ = Time::max();
        bool wasRunning_ = false;
        bool isWithinGuarantee_ = false;
        int attempt_ = 0;
    };

    /** Simulates one deployment with one seed in virtual time. */
    class Simulation {
    public:
        Simulation(const Deployment& deployment, std::unique_ptr<PlacementFinder> finder, bool hasPolicy, unsigned seed)
            : deployment_(deployment)
            , core_(std::move(finder))
            , hasPolicy_(hasPolicy)
            , random_(seed)
            , completionHours_(deployment.kinds_.size())
            , startSeconds_(deployment.kinds_.size())
        {
            Configuration configuration;
            if (hasPolicy)
                configuration.organisations_ = deployment.organisations_;
            else
                configuration.policy_.ageingThreshold_ = hours(24 * 3650);
            checkpointTimeout_ = configuration.policy_.checkpointTimeout_;
            handle(ConfigurationChanged { configuration });
            handle(StartPermitExtended { now_ + 3650 * day });
            for (int i = 0; i < deployment.workers_; ++i)
                handle(WorkerJoined { WorkerId("w" + std::to_string(10000 + i)), RackId("r" + std::to_string(i / deployment.workersPerRack_)), deployment.capacity_(i) });
        }

        /** Schedules an outage that starts at `at`, with `drainTime` until the drain deadline, and ends after `duration`. */
        void planOutage(Time at, Duration drainTime, Duration duration)
        {
            outageStart_ = at;
            outageDeadline_ = at + drainTime;
            outageEnd_ = at + duration;
        }

        void run(Duration length)
        {
            const Time end = now_ + length;
            Time nextArrival = now_ + nextInterarrivalTime();
            Time nextSample = now_ + minutes(10);
            while (now_ < end) {
                now_ = std::min({ end, nextArrival, nextSample, std::max(core_.nextDeadline(), now_ + std::chrono::milliseconds(1)), completions_.empty() ? Time::max() : completions_.top().first, outageStart_, outageEnd_ });
                if (now_ >= outageStart_) {
                    handle(DataCentreTakenOut { outageDeadline_ });
                    outageStart_ = Time::max();
                } else if (now_ >= outageEnd_) {
                    handle(DataCentreReturned {});
                    outageEnd_ = Time::max();
                } else if (!completions_.empty() && completions_.top().first <= now_) {
                    completeJob(completions_.top().second);
                } else if (now_ >= nextArrival) {
                    submitJob();
                    nextArrival = now_ + nextInterarrivalTime();
                } else if (now_ >= nextSample) {
                    sampleUtilisation();
                    nextSample = now_ + minutes(10);
                } else {
                    handle(Tick {});
                }
            }
        }

        void print(const char* policy, unsigned seed) const
        {
            std::printf("%s %s seed %u: %d jobs ended, %zu queued\n", deployment_.name_.c_str(), policy, seed, endedJobs_, core_.state().queue_.size());
            for (std::size_t kind = 0; kind < completionHours_.size(); ++kind)
                std::printf("  %-22s completion h p50 %.2f p95 %.2f p99 %.2f  start s p50 %.0f p99 %.0f  (%zu)\n", deployment_.kinds_[kind].name_.c_str(),
                    percentile(completionHours_[kind], 0.5), percentile(completionHours_[kind], 0.95), percentile(completionHours_[kind], 0.99),
                    percentile(startSeconds_[kind], 0.5), percentile(startSeconds_[kind], 0.99), completionHours_[kind].size());
            std::printf("  fragmented share of all accelerators: mean %.4f, first third %.4f, last third %.4f; in use %.3f\n", mean(fragmentedShare_, 0, 1), mean(fragmentedShare_, 0, 1.0 / 3), mean(fragmentedShare_, 2.0 / 3, 1), mean(usedShare_, 0, 1));
            std::printf("  guarantee to running s: p50 %.0f p99 %.0f max %.0f (%zu); work done %.0f accelerator-h, lost %.1f; preempted %d\n", percentile(guaranteeWaitSeconds_, 0.5), percentile(guaranteeWaitSeconds_, 0.99), percentile(guaranteeWaitSeconds_, 1), guaranteeWaitSeconds_.size(), acceleratorHoursDone_, acceleratorHoursLost_, preemptions_);
            std::printf("  decision us: p50 %.1f p99 %.1f max %.0f over %zu events; running tasks at the end %d\n", percentile(decisionMicros_, 0.5), percentile(decisionMicros_, 0.99), percentile(decisionMicros_, 1), decisionMicros_.size(), runningTasks());
            std::fflush(stdout);
        }

        double workDone() const { return acceleratorHoursDone_; }
        double workLost() const { return acceleratorHoursLost_; }

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

        Duration nextInterarrivalTime()
        {
            const double rate = deployment_.jobsPerDay_ / static_cast<double>(day.count());
            return Duration(1 + static_cast<Duration::rep>(std::exponential_distribution<double>(rate)(random_)));
        }

        void handle(const SchedulerEvent& event)
        {
            const auto begin = std::chrono::steady_clock::now();
            std::vector<SchedulerAction> actions = core_.handle(event, now_);
            decisionMicros_.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count());
            for (const SchedulerAction& action : actions)
                pending_.push_back(action);
            if (isResponding_)
                return;
            isResponding_ = true;
            while (!pending_.empty()) {
                const SchedulerAction action = pending_.front();
                pending_.pop_front();
                respond(action);
            }
            isResponding_ = false;
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

        void respond(const SchedulerAction& action)
        {
            if (const auto* prepare = std::get_if<PrepareTask>(&action)) {
                report(prepare->task_, prepare->worker_, TaskState::Prepared);
            } else if (const auto* start = std::get_if<StartTask>(&action)) {
                report(start->task_, start->worker_, TaskState::Running);
            } else if (const auto* checkpoint = std::get_if<CheckpointTask>(&action)) {
                const auto job = jobs_.find(checkpoint->task_.job_);
                if (job != jobs_.end())
                    report(checkpoint->task_, checkpoint->worker_, TaskState::Checkpointed, completedShare(job->second));
            } else if (const auto* stop = std::get_if<StopTask>(&action)) {
                report(stop->task_, stop->worker_, TaskState::Stopped);
            } else if (const auto* record = std::get_if<RecordJob>(&action)) {
                applyRecord(*record);
            }
        }

        double completedShare(const SimulatedJob& job) const
        {
            if (job.runningSince_ == Time::max())
                return job.checkpointedShare_;
            return std::min(1.0, job.checkpointedShare_ + static_cast<double>((now_ - job.runningSince_).count()) / static_cast<double>(job.wholeRun_.count()));
        }

        double acceleratorHours(const SimulatedJob& job, double share) const
        {
            return share * job.spec_.tasks_ * job.spec_.shape_.accelerators_ * std::chrono::duration<double, std::ratio<3600>>(job.wholeRun_).count();
        }

        void applyRecord(const RecordJob& record)
        {
            const auto position = jobs_.find(record.job_);
            if (position == jobs_.end())
                return;
            SimulatedJob& job = position->second;
            if (record.state_ == JobState::Running) {
                markRunning(job, record);
                return;
            }
            if (record.state_ == JobState::Placed || record.state_ == JobState::Prepared)
                return;
            if (job.runningSince_ != Time::max()) {
                const double reachedShare = completedShare(job);
                const double keptShare = record.state_ == JobState::Finished ? 1 : record.checkpointedShare_;
                acceleratorHoursDone_ += acceleratorHours(job, std::max(0.0, keptShare - job.checkpointedShare_));
                acceleratorHoursLost_ += acceleratorHours(job, std::max(0.0, reachedShare - std::max(keptShare, job.checkpointedShare_)));
                job.checkpointedShare_ = std::max(job.checkpointedShare_, keptShare);
                job.runningSince_ = Time::max();
                preemptions_ += static_cast<int>(record.state_ != JobState::Finished);
            }
            if (!isFinal(record.state_))
                return;
            ++endedJobs_;
            if (record.state_ == JobState::Finished)
                completionHours_[job.kind_].push_back(std::chrono::duration<double, std::ratio<3600>>(now_ - job.submitted_).count());
            jobs_.erase(position);
        }

        void markRunning(SimulatedJob& job, const RecordJob& record)
        {
            job.runningSince_ = now_;
            job.attempt_ = record.attempt_;
            const auto left = Duration(1 + static_cast<Duration::rep>(static_cast<double>(job.wholeRun_.count()) * (1 - job.checkpointedShare_)));
            completions_.emplace(now_ + left, std::make_pair(record.job_, record.attempt_));
            if (job.wasRunning_)
                return;
            job.wasRunning_ = true;
            const double waitSeconds = std::chrono::duration<double>(now_ - job.submitted_).count();
            startSeconds_[job.kind_].push_back(waitSeconds);
            if (job.isWithinGuarantee_)
                guaranteeWaitSeconds_.push_back(waitSeconds);
        }

        void completeJob(const std::pair<JobId, int>& completion)
        {
            const std::pair<JobId, int> ended = completion;
            completions_.pop();
            const auto job = jobs_.find(ended.first);
            if (job == jobs_.end() || job->second.attempt_ != ended.second || job->second.runningSince_ == Time::max())
                return;
            const JobEntry* entry = core_.state().findJob(ended.first);
            if (!entry || entry->phase_ == JobPhase::Queued || entry->attempts_ != ended.second)
                return;
            const std::vector<GangTask> tasks = entry->tasks_;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                const WorkerId worker = core_.state().workers_.at(tasks[index].worker_).id();
                report(TaskKey { ended.first, ended.second, static_cast<int>(index) }, worker, TaskState::Finished, 1);
            }
        }

        void submitJob()
        {
            std::vector<double> shares;
            for (const JobKind& kind : deployment_.kinds_)
                shares.push_back(kind.share_);
            const std::size_t kind = std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(random_);
            const JobKind& jobKind = deployment_.kinds_[kind];
            SimulatedJob job;
            job.kind_ = kind;
            job.submitted_ = now_;
            job.wholeRun_ = Duration(1 + static_cast<Duration::rep>(static_cast<double>(jobKind.medianRun_.count()) * std::lognormal_distribution<double>(0, 0.6)(random_)));
            JobSpec& spec = job.spec_;
            spec.id_ = JobId("j" + std::to_string(1000000 + submittedJobs_++));
            // The first organisation submits more jobs than the others.
            const std::size_t organisations = deployment_.organisations_.size();
            const bool isFirst = std::bernoulli_distribution(0.3)(random_);
            spec.organisation_ = deployment_.organisations_[isFirst ? 0 : std::uniform_int_distribution<std::size_t>(0, organisations - 1)(random_)].id_;
            spec.tasks_ = jobKind.tasks_;
            spec.shape_ = jobKind.shape_;
            spec.adjacency_ = jobKind.adjacency_;
            spec.isUrgent_ = hasPolicy_ && jobKind.isUrgent_;
            spec.isIdempotent_ = jobKind.isIdempotent_;
            // Declared run times are log-normally distributed around the actual ones; most are within a factor of four.
            spec.declaredRunTime_ = Duration(1 + static_cast<Duration::rep>(static_cast<double>(job.wholeRun_.count()) * std::lognormal_distribution<double>(0, 0.7)(random_)));
            const auto slots = core_.state().guarantees_.reclaimableSlots(spec.organisation_, core_.state().workers_);
            job.isWithinGuarantee_ = fillSlots(slots, GangDemand { spec.shape_, spec.tasks_, spec.adjacency_ }).has_value();
            jobs_[spec.id_] = job;
            JobSubmitted submitted;
            submitted.spec_ = spec;
            submitted.submitted_ = now_;
            handle(submitted);
        }

        /** Samples utilisation and fragmentation: free accelerators on partly used workers are unavailable to jobs that need a whole worker. */
        void sampleUtilisation()
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
            fragmentedShare_.push_back(static_cast<double>(free - usable) / std::max(1, all));
            usedShare_.push_back(1 - static_cast<double>(free) / std::max(1, all));
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
        Duration checkpointTimeout_ {};
        Time outageStart_ = Time::max();
        Time outageDeadline_ = Time::max();
        Time outageEnd_ = Time::max();
        std::map<JobId, SimulatedJob> jobs_;
        std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions_;
        std::deque<SchedulerAction> pending_;
        bool isResponding_ = false;
        int submittedJobs_ = 0;
        int endedJobs_ = 0;
        int preemptions_ = 0;
        double acceleratorHoursDone_ = 0;
        double acceleratorHoursLost_ = 0;
        std::vector<std::vector<double>> completionHours_;
        std::vector<std::vector<double>> startSeconds_;
        std::vector<double> guaranteeWaitSeconds_;
        std::vector<double> fragmentedShare_;
        std::vector<double> usedShare_;
        std::vector<double> decisionMicros_;
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
        { "load", 'l', POPT_ARG_DOUBLE, &load, 0, "factor on the arrival rate", nullptr },
        { "scale", 'x', POPT_ARG_DOUBLE, &scale, 0, "factor on the size of the target deployment", nullptr },
        { "outage", 'o', POPT_ARG_INT, &outageMinutes, 0, "drain the data centre within this many minutes half way through, and keep it out of service for six hours", nullptr },
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
