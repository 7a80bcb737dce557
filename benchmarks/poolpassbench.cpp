#include "pool/poolscheduler.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <popt.h>
#include <random>
#include <string>
#include <vector>

// Measures scheduling passes of the pool scheduler on a full pool with a backlog,
// each after one event: an ended run, a new job or a new urgent gang.

namespace fescuecleat {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr std::int64_t accelerators[] = { 1, 2, 4, 8, 8 };

    /** A pool whose workers answer immediately. */
    class InstantPool {
    public:
        InstantPool(int workers, unsigned seed)
            : random_(seed)
        {
            for (int i = 0; i < workers; ++i) {
                WorkerInfo info;
                info.key_ = { "w" + std::to_string(100000 + i), 1 };
                info.machine_ = "m" + std::to_string(i);
                info.service_ = "service";
                info.dataCentre_ = "dc" + std::to_string(i % 5);
                info.rack_ = info.dataCentre_ + "-r" + std::to_string(i / 60);
                info.labels_ = { "a", info.rack_ };
                info.capacity_ = { 64000, 131072, 8 };
                scheduler_.putWorker(info, now_);
                scheduler_.setReachable(info.key_);
            }
            scheduler_.setGuarantees({ { "o0", workers }, { "o1", workers }, { "o2", workers } });
        }

        void submitOrdinary()
        {
            StepSpec step;
            if (random_() % 2 == 0) {
                step.taskCount_ = 4 + static_cast<int>(random_() % 20);
                step.resources_ = { 26000, 53000, accelerators[random_() % 5] };
                step.isGang_ = true;
                step.wantsOneRack_ = random_() % 10 < 6;
                step.estimate_ = seconds(11);
            } else {
                step.taskCount_ = 10 + static_cast<int>(random_() % 60);
                step.resources_ = { 5600, 15000, 1 };
                step.estimate_ = seconds(8);
            }
            step.savesProgress_ = random_() % 2 == 0;
            submit(step, 1 + static_cast<int>(random_() % 2));
        }

        void submitUrgent()
        {
            StepSpec step;
            step.taskCount_ = 2 + static_cast<int>(random_() % 8);
            step.resources_ = { 7500, 20000, accelerators[random_() % 5] };
            step.isGang_ = true;
            step.wantsOneRack_ = random_() % 10 < 8;
            step.estimate_ = milliseconds(2500);
            submit(step, 0);
        }

        /** Ends one random active run, with the other members if it is part of a gang. */
        void endRun()
        {
            const auto& runs = scheduler_.state().runs_;
            if (runs.empty())
                return;
            auto it = runs.lower_bound({ { jobs_[random_() % jobs_.size()], 0, 0, 0 }, 0 });
            if (it == runs.end())
                it = runs.begin();
            const Job& job = scheduler_.state().jobs_.at(it->first.task_.job_);
            const std::set<RunId> ended = job.unit(it->second.unit_).openRuns_;
            for (const RunId& run : ended)
                report(run, EndReason::Done);
            for (const RunId& run : ended)
                scheduler_.forgetJob(run.task_.job_);
        }

        /** Runs one pass and returns its duration in microseconds; then answers its decisions. */
        double pass()
        {
            now_ += milliseconds(2);
            const auto begin = std::chrono::steady_clock::now();
            scheduler_.schedule(now_, 0);
            scheduler_.nextWake(now_, 0);
            const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
            const Decisions decisions = scheduler_.takeDecisions();
            for (const StartDecision& start : decisions.starts_) {
                if (scheduler_.beginStart(start.run_, now_))
                    scheduler_.startAnswered(start.run_, StartAnswer::Accepted, now_);
            }
            for (const StopDecision& stop : decisions.stops_)
                report(stop.run_, EndReason::Stopped);
            scheduler_.takeDecisions();
            return took.count();
        }

        const PoolState& state() const { return scheduler_.state(); }
        std::size_t roll(std::size_t sides) { return random_() % sides; }

    private:
        void submit(const StepSpec& step, int priority)
        {
            char id[17];
            std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(random_()), nextJob_++);
            PoolJobSpec spec;
            spec.steps_.push_back(step);
            JobPolicy policy { "q" + std::to_string(priority), "service", "o" + std::to_string(random_() % 24), priority, 2, priority == 0 ? 1.5 : 3.0, milliseconds(priority == 0 ? 250 : 1000), false };
            scheduler_.addJob(id, spec, policy, now_, nullptr, now_);
            jobs_.emplace_back(id);
        }

        void report(const RunId& run, EndReason reason)
        {
            const auto entry = state().runs_.find(run);
            if (entry == state().runs_.end())
                return;
            const WorkerKey worker = entry->second.worker_;
            PoolWorkerReport report;
            report.startedUnixMs_ = worker.startedUnixMs_;
            report.ended_.push_back({ state().workers_.at(worker).lastProcessedEnd_ + 1, run, reason, {} });
            // Requested before all starts, so that unlisted runs don't count as ended.
            scheduler_.report(worker, report, Time {}, now_);
        }

        PoolScheduler scheduler_;
        Time now_ { seconds(1000) };
        std::mt19937 random_;
        std::vector<std::string> jobs_;
        unsigned nextJob_ = 1;
    };

    double percentile(std::vector<double> values, double share)
    {
        std::sort(values.begin(), values.end());
        return values.empty() ? 0 : values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
    }

    void measure(int workers, int openJobs, int passes, unsigned seed)
    {
        InstantPool pool(workers, seed);
        for (int i = 0; i < openJobs; ++i)
            pool.submitOrdinary();
        pool.pass();
        pool.pass();
        std::vector<double> times;
        for (int i = 0; i < passes; ++i) {
            const std::size_t event = pool.roll(10);
            if (event < 7)
                pool.endRun();
            else if (event < 8)
                pool.submitOrdinary();
            else
                pool.submitUrgent();
            times.push_back(pool.pass());
        }
        std::printf("%7d %7zu %7zu %9.0f %9.0f %9.0f\n", workers, pool.state().jobs_.size(), pool.state().runs_.size(), percentile(times, 0.5), percentile(times, 0.99), percentile(times, 1));
    }

}

}

int main(int argc, const char** argv)
{
    int passes = 200;
    int seed = 1;
    int mostWorkers = 7300;
    const poptOption options[] = {
        { "passes", 'p', POPT_ARG_INT, &passes, 0, "passes to measure for each size", "N" },
        { "seed", 's', POPT_ARG_INT, &seed, 0, "seed of the load", "N" },
        { "most", 'm', POPT_ARG_INT, &mostWorkers, 0, "largest pool to measure, in workers", "N" },
        POPT_AUTOHELP POPT_TABLEEND
    };
    const poptContext context = poptGetContext("poolpassbench", argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    poptFreeContext(context);
    if (parsed < -1) {
        std::fprintf(stderr, "poolpassbench: %s\n", poptStrerror(parsed));
        return 64;
    }
    std::printf("Duration of a scheduling pass in microseconds, after one event each.\n");
    std::printf("workers    jobs    runs       p50       p99       max\n");
    for (const auto& [workers, jobs] : { std::pair(48, 100), std::pair(540, 1000), std::pair(3000, 5500), std::pair(7300, 13500) }) {
        if (workers > mostWorkers)
            break;
        fescuecleat::measure(workers, jobs, passes, static_cast<unsigned>(seed));
        std::fflush(stdout);
    }
    return 0;
}
