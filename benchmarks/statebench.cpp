#include "../tests/support/faketable.h"

#include "control/controlrecords.h"
#include "control/leaseservice.h"
#include "platform/groupcommittable.h"
#include "state/jobstore.h"
#include "state/recovery.h"
#include "state/retention.h"
#include "state/rowkeys.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <random>
#include <thread>

using namespace fescuecleat;

// Measures the cost of durable state: rows written per job, throughput of group
// commit, recovery time by state size and takeover time of the scheduler lease.
// The table is in memory; its simulated delay is printed with the figure.

namespace {

const DataCentreId dataCentre("catania");
const Time noDeadline = Time::max();

double millisecondsSince(Time start)
{
    return std::chrono::duration<double, std::milli>(monotonicNow() - start).count();
}

JobSpec makeSpec(int number, int tasks)
{
    JobSpec spec;
    spec.id_ = JobId("job-" + std::to_string(number));
    spec.organisation_ = OrganisationId("studio");
    spec.idempotencyKey_ = "key-" + std::to_string(number);
    spec.tasks_ = tasks;
    spec.payload_ = "{\"survey\": \"San Domenico, Palermo, west front\", \"images\": 1240}";
    return spec;
}

LeaseFence beginEpoch(Table& table)
{
    const LeaseRecord record { InstanceId("bench"), 1, {} };
    const auto outcome = table.commit({ "lease", {}, { { rowkeys::lease(dataCentre), writeLeaseRecord(record) } } }, noDeadline);
    return { dataCentre, 1, std::get<Committed>(*outcome).revision_ };
}

/** Rows written for one job from its submission to its removal. */
std::uint64_t measureRowsPerJob()
{
    FakeTable table;
    WriteIds writeIds("bench");
    JobStore store(table, writeIds);
    const LeaseFence fence = beginEpoch(table);
    const std::uint64_t rowsBefore = table.rowsWritten();
    const int commitsBefore = table.commits();
    store.submit(makeSpec(1, 1), dataCentre, 1, noDeadline);
    std::printf("job: submission writes %llu rows\n", static_cast<unsigned long long>(table.rowsWritten() - rowsBefore));
    StoredJob job = **store.find(JobId("job-1"), { dataCentre }, noDeadline);
    for (const JobState state : { JobState::Queued, JobState::Placed, JobState::Running, JobState::Finished })
        job = std::get<Recorded>(*store.record({ { job, state, 1, { WorkerId("w1") }, 0, 0, {}, false } }, fence, 2, noDeadline)).jobs_.front();
    store.markDelivered(job, 3, noDeadline);
    const std::uint64_t live = table.rowsWritten() - rowsBefore;
    removeExpired(table, writeIds, fence, {}, 1LL << 50, noDeadline);
    const std::uint64_t all = table.rowsWritten() - rowsBefore;
    std::printf("job: %llu rows in %d commits from submission to delivery and removal, %llu of them by retention\n",
        static_cast<unsigned long long>(all), table.commits() - commitsBefore, static_cast<unsigned long long>(all - live));
    return all;
}

/** Claims per second that concurrent writers commit. */
double claimsPerSecond(Table& table, int threadCount, Duration time)
{
    std::atomic<int> claims { 0 };
    const Time end = monotonicNow() + time;
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(threadCount));
    for (int thread = 0; thread < threadCount; ++thread) {
        threads.emplace_back([&, thread] {
            for (int i = 0; monotonicNow() < end; ++i) {
                const std::string key = "claim/studio/" + std::to_string(thread) + "-" + std::to_string(i);
                table.commit({ key, { { key, 0 } }, { { key, "{}" } } }, noDeadline);
                ++claims;
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    return claims / std::chrono::duration<double>(time).count();
}

/** Serialises commits, each of which takes the delay of the fake table. */
class SerialTable : public Table {
public:
    explicit SerialTable(Table& table)
        : table_(table)
    {
    }
    Result<CommitOutcome> commit(const Transaction& transaction, Time deadline) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return table_.commit(transaction, deadline);
    }
    Result<Row> read(const std::string& key, Time deadline) override { return table_.read(key, deadline); }
    Result<RowScan> scan(const std::string& prefix, Time deadline) override { return table_.scan(prefix, deadline); }

private:
    Table& table_;
    std::mutex mutex_;
};

void measureGroupCommit()
{
    constexpr Duration commitTime = std::chrono::milliseconds(3);
    constexpr Duration time = std::chrono::seconds(1);
    for (const int threads : { 1, 16, 64 }) {
        FakeTable table;
        table.setDelay(commitTime);
        SerialTable serial(table);
        WriteIds writeIds("bench");
        const double ungroupedRate = claimsPerSecond(serial, threads, time);
        FakeTable secondTable;
        secondTable.setDelay(commitTime);
        SerialTable secondSerial(secondTable);
        GroupCommitTable grouped(secondSerial, writeIds, { 64, 1 });
        const double groupedRate = claimsPerSecond(grouped, threads, time);
        const GroupCommitCounts counts = grouped.counts();
        std::printf("group commit: %2d writers, 3 ms per commit: %.0f claims/s ungrouped, %.0f grouped, %.1f transactions per commit\n",
            threads, ungroupedRate, groupedRate, static_cast<double>(counts.transactions_) / static_cast<double>(std::max<std::uint64_t>(counts.commits_, 1)));
    }
}

void measureRecovery(int tasks)
{
    constexpr int tasksPerJob = 3;
    FakeTable table;
    WriteIds writeIds("bench");
    JobStore store(table, writeIds);
    Snapshot snapshot;
    snapshot.dataCentre_ = dataCentre;
    std::vector<ReportedTask> reports;
    std::size_t bytes = 0;
    for (int i = 0; i < tasks / tasksPerJob; ++i) {
        JobRecord record;
        record.spec_ = makeSpec(i, tasksPerJob);
        record.state_ = JobState::Running;
        record.dataCentre_ = dataCentre;
        record.attempt_ = 1;
        for (int task = 0; task < tasksPerJob; ++task) {
            record.placement_.emplace_back("worker-" + std::to_string((i + task) % 1300));
            reports.push_back({ { record.spec_.id_, 1, task }, record.placement_.back(), TaskState::Running });
        }
        const std::string text = writeJobRecordText(record);
        bytes += text.size();
        table.commit({ writeIds.next(), {}, { { rowkeys::job(dataCentre, record.spec_.id_), text } } }, noDeadline);
        snapshot.jobs_.push_back(std::move(record));
    }
    const Time loadStart = monotonicNow();
    const auto rows = store.loadLive(dataCentre, noDeadline);
    const double loadMs = millisecondsSince(loadStart);
    const Time matchStart = monotonicNow();
    const RecoveredState state = recoverState(*rows, std::nullopt, reports);
    const double matchMs = millisecondsSince(matchStart);
    const Time writeStart = monotonicNow();
    const std::string text = writeSnapshot(snapshot);
    const double writeMs = millisecondsSince(writeStart);
    const Time readStart = monotonicNow();
    const bool isRead = parseSnapshot(text, "snapshot").has_value();
    const double readMs = millisecondsSince(readStart);
    std::printf("recovery: %5d tasks in %4zu jobs: rows %.0f ms (%zu KB), match reports %.1f ms, %zu tasks kept; snapshot write %.0f ms, read %.0f ms%s\n",
        tasks, snapshot.jobs_.size(), loadMs, bytes / 1024, matchMs, state.tasks_.size(), writeMs, readMs, isRead ? "" : " (unreadable)");
}

/** Time from the stop of a lease holder until another instance holds the lease. */
void measureTakeover()
{
    constexpr int runs = 7;
    std::mt19937 random(20261203);
    std::vector<double> takeoversMs;
    for (int run = 0; run < runs; ++run) {
        FakeTable table;
        table.setDelay(std::chrono::milliseconds(3));
        WriteIds writeIds("bench");
        LeaseService first(table, writeIds, InstanceId("first"), dataCentre);
        LeaseService second(table, writeIds, InstanceId("second"), dataCentre);
        const auto step = [](LeaseService& service) { std::this_thread::sleep_for(std::min<Duration>(remaining(service.step(), monotonicNow()), std::chrono::milliseconds(5))); };
        while (!first.status(monotonicNow()).isHeld_)
            step(first);
        const Time silentAt = monotonicNow() + std::chrono::milliseconds(800 + random() % 800);
        std::thread firstHolder([&] {
            while (monotonicNow() < silentAt)
                step(first);
        });
        while (!second.status(monotonicNow()).isHeld_)
            step(second);
        firstHolder.join();
        takeoversMs.push_back(millisecondsSince(silentAt));
    }
    std::sort(takeoversMs.begin(), takeoversMs.end());
    std::printf("takeover: from the stop of a holder to the next holder, %d runs: median %.0f ms, max %.0f ms\n", runs, takeoversMs[runs / 2], takeoversMs.back());
}

/** Calculates the table load at the target rates from the measured rows per job and the control timing. */
void printTargetLoad(std::uint64_t rowsPerJob)
{
    constexpr double secondsPerDay = 24 * 3600;
    constexpr double dataCentres = 6;
    constexpr double instances = 54;
    constexpr double jobsPerDay = 3600;
    constexpr double changesPerDay = 650;
    const ControlTiming timing;
    const double heartbeats = dataCentres / std::chrono::duration<double>(timing.renewalInterval_).count();
    const double reads = instances / std::chrono::duration<double>(timing.pollInterval_).count();
    const double jobs = jobsPerDay * static_cast<double>(rowsPerJob) / secondsPerDay;
    // Each change writes the head, the content and one confirmation per data centre.
    const double changes = changesPerDay * (2 + dataCentres) / secondsPerDay;
    std::printf("target: rows written per second: heartbeats %.2f, jobs %.2f, configuration %.2f, total %.2f; control reads per second: %.0f\n",
        heartbeats, jobs, changes, heartbeats + jobs + changes, reads);
}

}

int main()
{
    const std::uint64_t rowsPerJob = measureRowsPerJob();
    printTargetLoad(rowsPerJob);
    measureGroupCommit();
    for (const int tasks : { 1000, 4000, 11000 })
        measureRecovery(tasks);
    measureTakeover();
    return 0;
}
