// The longest call of the scheduler, and the memory, by the number of tasks that one job declares. The pool
// has 540 workers of eight accelerators; each turn completes what has been started and makes a pass.

#include "pool/jobrecordrows.h"
#include "pool/poolscheduler.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <string>
#include <vector>

using namespace fescuecleat;

namespace {

constexpr int workers = 540;
constexpr int workersPerRack = 12;
constexpr int turns = 20;
constexpr std::int64_t unixMs = 1700000000000;
constexpr std::size_t rowBytes = 49152;
constexpr const char* jobId = "00000000000000aa";

struct Shape {
    const char* name_;
    int steps_;
    int tasks_;
    int occurrences_;
    std::int64_t periodMs_;
    bool isChain_;
};

PoolJobSpec specOf(const Shape& shape)
{
    StepSpec step;
    step.taskCount_ = shape.tasks_;
    step.resources_ = { 1000, 1000, 1 };
    step.estimate_ = std::chrono::seconds(1);
    PoolJobSpec spec;
    spec.steps_.assign(static_cast<std::size_t>(shape.steps_), step);
    for (int i = 1; shape.isChain_ && i < shape.steps_; ++i)
        spec.steps_[static_cast<std::size_t>(i)].after_ = { i - 1 };
    spec.occurrences_ = shape.occurrences_;
    spec.periodMs_ = shape.periodMs_;
    spec.firstDueUnixMs_ = unixMs - shape.occurrences_ * shape.periodMs_;
    return spec;
}

class Pool {
public:
    Pool()
    {
        for (int i = 0; i < workers; ++i) {
            WorkerInfo info;
            info.key_ = { "w" + std::to_string(i), 1 };
            info.service_ = "service";
            info.rack_ = "r" + std::to_string(i / workersPerRack);
            info.capacity_ = { 128000, 256000, 8 };
            scheduler_.putWorker(info, now_);
            scheduler_.setReachable(info.key_);
        }
    }

    /** Starts a gang, and has all workers report it twice: as just started, and as at work for a while. */
    void runGang(int tasks)
    {
        PoolJobSpec spec = specOf({ "gang", 1, tasks, 0, 0, false });
        spec.steps_.front().isGang_ = true;
        spec.steps_.front().resources_ = { 1, 1, 0 };
        add(spec, nullptr);
        measure([this] { scheduler_.schedule(now_, unixMs); });
        std::map<WorkerKey, PoolWorkerReport> reports;
        for (const StartDecision& decision : scheduler_.takeDecisions().starts_) {
            scheduler_.beginStart(decision.run_, now_);
            reports[decision.worker_].running_.push_back({ decision.run_, {}, 10 });
            ++started_;
        }
        for (int round = 0; round < 2; ++round) {
            now_ += std::chrono::seconds(2);
            for (const auto& [worker, report] : reports)
                measure([this, key = worker, &running = report] { scheduler_.report(key, running, now_, now_); });
        }
    }

    void add(const PoolJobSpec& spec, const PoolJobRecord* record)
    {
        JobPolicy policy;
        policy.service_ = "service";
        policy.priority_ = 1;
        measure([&] { scheduler_.addJob(jobId, spec, policy, now_, record, now_); });
    }

    /** Completes what runs, and starts what there is room for. */
    void turn()
    {
        now_ += std::chrono::seconds(1);
        for (const auto& [worker, runs] : running_) {
            PoolWorkerReport report;
            for (const RunId& run : runs)
                report.ended_.push_back({ ++sequences_[worker], run, EndReason::Done, {} });
            measure([&, key = worker] { scheduler_.report({ key, 1 }, report, now_, now_); });
        }
        running_.clear();
        do {
            measure([this] { scheduler_.schedule(now_, unixMs); });
            for (const StartDecision& decision : scheduler_.takeDecisions().starts_) {
                scheduler_.beginStart(decision.run_, now_);
                scheduler_.startAnswered(decision.run_, StartAnswer::Accepted, now_);
                running_[decision.worker_.id_].push_back(decision.run_);
                ++started_;
            }
        } while (scheduler_.nextWake(now_, unixMs) == now_);
        measure([this] { rows_ = scheduler_.recordRows(jobId, rowBytes); });
    }

    PoolJobRecord storedRecord() const
    {
        PoolJobRecord record;
        for (const auto& [key, value] : rows_)
            JobRecordRows::decode(key, value, record);
        return record;
    }

    double longestMs() const { return longestMs_; }
    double totalMs() const { return totalMs_; }
    long started() const { return started_; }

private:
    template <typename Call>
    void measure(Call call)
    {
        const auto begin = std::chrono::steady_clock::now();
        call();
        const double ms = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
        longestMs_ = std::max(longestMs_, ms);
        totalMs_ += ms;
    }

    PoolScheduler scheduler_;
    Time now_ { std::chrono::seconds(1000) };
    std::map<std::string, std::vector<RunId>> running_;
    std::map<std::string, std::int64_t> sequences_;
    std::map<std::string, std::string> rows_;
    double longestMs_ = 0;
    double totalMs_ = 0;
    long started_ = 0;
};

void measure(const Shape& shape)
{
    const PoolJobSpec spec = specOf(shape);
    Pool pool;
    const std::size_t before = mallinfo2().uordblks;
    pool.add(spec, nullptr);
    const std::size_t added = mallinfo2().uordblks;
    for (int i = 0; i < turns; ++i)
        pool.turn();
    const std::size_t after = mallinfo2().uordblks;
    Pool next;
    const PoolJobRecord record = pool.storedRecord();
    next.add(spec, &record);
    next.turn();
    std::printf("%-32s %4d x %5d x %6d: longest call %10.2f ms, next holder's %10.2f ms; %8.1f KB when added, %8.1f KB after %ld starts\n", shape.name_, shape.steps_, shape.tasks_, std::max(1, shape.occurrences_),
        pool.longestMs(), next.longestMs(), static_cast<double>(added - before) / 1e3, static_cast<double>(after - before) / 1e3, pool.started());
    std::fflush(stdout);
}

void measureGang(int tasks)
{
    Pool pool;
    pool.runGang(tasks);
    std::printf("gang of %d: longest call %10.2f ms, all calls %10.2f ms\n", tasks, pool.longestMs(), pool.totalMs());
}

}

/** Arguments: the largest number of declared tasks that is measured. */
int main(int argc, char** argv)
{
    const double maxTasks = argc > 1 ? std::atof(argv[1]) : 1e18;
    for (const Shape& shape : std::initializer_list<Shape> {
             { "one task", 1, 1, 0, 0, false },
             { "one step", 1, 100, 0, 0, false },
             { "one step", 1, 10000, 0, 0, false },
             { "steps side by side", 100, 100, 0, 0, false },
             { "steps side by side", 256, 400, 0, 0, false },
             { "steps side by side", 256, 10000, 0, 0, false },
             { "chain", 100, 100, 0, 0, true },
             { "chain", 256, 400, 0, 0, true },
             { "chain", 256, 10000, 0, 0, true },
             { "passed times", 1, 1, 100, 60000, false },
             { "passed times", 1, 1, 10000, 60000, false },
             { "passed times", 1, 1, 100000, 60000, false },
             { "times at one moment", 1, 1, 100000, 0, false },
             { "passed times of many steps", 256, 400, 100, 60000, false },
             { "passed times of many steps", 256, 10000, 100000, 60000, false },
             { "passed times of a chain", 256, 10000, 100000, 60000, true },
         }) {
        if (static_cast<double>(shape.steps_) * shape.tasks_ * std::max(1, shape.occurrences_) <= maxTasks)
            measure(shape);
    }
    for (const int tasks : { 100, 1000, 10000 })
        measureGang(tasks);
    return EXIT_SUCCESS;
}
