#include "worker/workerfleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;

namespace {

const TaskKey runningTask { JobId("j"), 1, 0 };

/** The incarnation at port 1 runs a task; the one at port 2 is new. */
class TwoIncarnations : public WorkerClient {
public:
    Result<WorkerReport> renew(const Address& address, std::uint64_t epoch, std::int64_t, const std::vector<TaskKey>&, Time) override
    {
        WorkerReport report;
        report.clockMicros_ = monotonicNow().time_since_epoch().count();
        report.epoch_ = epoch;
        TaskReported task;
        task.task_ = runningTask;
        task.state_ = TaskState::Running;
        if (address.port_ == 1)
            report.tasks_.push_back(task);
        return report;
    }

    WorkerAnswer prepare(const Address&, std::uint64_t, const PreparedTask&, Time) override { return WorkerNotReached {}; }
    WorkerAnswer start(const Address&, std::uint64_t, const TaskKey&, std::int64_t, Time) override { return WorkerNotReached {}; }
    WorkerAnswer checkpoint(const Address&, std::uint64_t, const TaskKey&, std::int64_t, Time) override { return WorkerNotReached {}; }
    WorkerAnswer stop(const Address&, std::uint64_t, const TaskKey&, Time) override { return WorkerNotReached {}; }
    WorkerAnswer throttle(const Address&, std::uint64_t, const TaskKey&, Time) override { return WorkerNotReached {}; }
};

std::vector<ListedInstance> workerAt(unsigned short port)
{
    ListedInstance worker;
    worker.id_ = "w1";
    worker.role_ = InstanceRole::Worker;
    worker.address_ = { "127.0.0.1", port };
    return { worker };
}

}

/** A worker that is listed under another address, while its former incarnation is cut off and runs on. */
class WorkerAddressTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkerAddressTest);
    CPPUNIT_TEST(reportOfTheNextIncarnationDoesNotEndTheRunsOfTheFormer);
    CPPUNIT_TEST_SUITE_END();

    void reportOfTheNextIncarnationDoesNotEndTheRunsOfTheFormer()
    {
        std::atomic<int> seen { 0 };
        std::atomic<int> missing { 0 };
        TwoIncarnations client;
        RunPermitPolicy policy;
        WorkerFleet fleet(
            client, policy, [&](const SchedulerEvent& event) {
            if (const auto* reported = std::get_if<WorkerReported>(&event))
                ++(reported->tasks_.empty() ? missing : seen); }, [](const TaskKey&) { return false; });
        fleet.setWorkers(workerAt(1));
        fleet.begin(1, Time::max() - policy.gracePeriod_, {});
        while (seen == 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        fleet.setWorkers(workerAt(2));
        // Two reports without the task end it; the permit of the former incarnation lasts 15 s.
        std::this_thread::sleep_for(std::chrono::seconds(4));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(missing) + " reports without the task while the former permit holds", missing == 0);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(WorkerAddressTest, "incarnations");
