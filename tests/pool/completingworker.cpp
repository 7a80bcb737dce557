#include "pool/completingworker.h"

#include "pool/jobrecordrows.h"

#include <cppunit/TestAssert.h>

namespace fescuecleat {

namespace {

    constexpr std::size_t rowBytes = 49152;
    const WorkerKey worker { "w1", 1 };

}

CompletingWorker::CompletingWorker()
{
    WorkerInfo info;
    info.key_ = worker;
    info.service_ = "service";
    info.rack_ = "r0";
    info.capacity_ = { 64000, 64000, 8 };
    scheduler_.putWorker(info, now_);
    scheduler_.setReachable(worker);
}

void CompletingWorker::add(const std::string& id, const PoolJobSpec& spec, int priority, const PoolJobRecord* record, const std::string& organisation)
{
    JobPolicy policy;
    policy.organisation_ = organisation;
    policy.service_ = "service";
    policy.maxAttempts_ = 3;
    policy.priority_ = priority;
    scheduler_.addJob(id, spec, policy, now_, record, now_);
}

std::vector<RunId> CompletingWorker::startAll()
{
    now_ += std::chrono::seconds(1);
    scheduler_.schedule(now_, startUnixMs + wholeMilliseconds(now_ - start));
    std::vector<RunId> started;
    for (const StartDecision& decision : scheduler_.takeDecisions().starts_) {
        scheduler_.beginStart(decision.run_, now_);
        scheduler_.startAnswered(decision.run_, StartAnswer::Accepted, now_);
        started.push_back(decision.run_);
    }
    return started;
}

void CompletingWorker::report(const std::vector<RunId>& ended, EndReason reason, const std::vector<RunId>& running)
{
    PoolWorkerReport report;
    for (const RunId& run : ended)
        report.ended_.push_back({ ++sequence_, run, reason, {} });
    for (const RunId& run : running)
        report.running_.push_back({ run, {}, 1 });
    scheduler_.report(worker, report, now_, now_);
}

std::vector<RunId> CompletingWorker::runOnce()
{
    std::vector<RunId> runs = startAll();
    complete(runs);
    return runs;
}

PoolJobRecord CompletingWorker::storedRecord(const std::string& id) const
{
    PoolJobRecord record;
    for (const auto& [key, value] : scheduler_.recordRows(id, rowBytes))
        CPPUNIT_ASSERT(JobRecordRows::decode(key, value, record));
    return record;
}

}
