#include "worker/workerfleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;

namespace {

/** Answers for all workers but the one at port 1, whose renewals time out. */
class OneSilentWorker : public WorkerClient {
public:
    Result<WorkerReport> renew(const Address& address, std::uint64_t epoch, std::int64_t, const std::vector<TaskKey>&, Time deadline) override
    {
        if (address.port_ == 1) {
            std::this_thread::sleep_until(deadline);
            return tl::unexpected<Error>(Error { ErrorKind::Unavailable, "no answer", "", "" });
        }
        ++answers_;
        WorkerReport report;
        report.clockMicros_ = monotonicNow().time_since_epoch().count();
        report.epoch_ = epoch;
        return report;
    }

    WorkerAnswer prepare(const Address&, std::uint64_t, const PreparedTask&, Time) override { return WorkerNotReached {}; }
    WorkerAnswer start(const Address&, std::uint64_t, const TaskKey&, std::int64_t, Time) override { return WorkerNotReached {}; }
    WorkerAnswer checkpoint(const Address&, std::uint64_t, const TaskKey&, std::int64_t, Time) override { return WorkerNotReached {}; }
    WorkerAnswer stop(const Address&, std::uint64_t, const TaskKey&, Time) override { return WorkerNotReached {}; }
    WorkerAnswer throttle(const Address&, std::uint64_t, const TaskKey&, Time) override { return WorkerNotReached {}; }

    std::atomic<int> answers_ { 0 };
};

ListedInstance listed(const std::string& id, unsigned short port)
{
    ListedInstance worker;
    worker.id_ = id;
    worker.role_ = InstanceRole::Worker;
    worker.address_ = { "127.0.0.1", port };
    return worker;
}

}

/** A worker that does not answer. */
class WorkerSilenceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkerSilenceTest);
    CPPUNIT_TEST(silentWorkerKeepsNoOtherFromItsRenewals);
    CPPUNIT_TEST_SUITE_END();

    /** Guards against declaring reachable workers lost because the renewals of a silent one take all the time of their shard. */
    void silentWorkerKeepsNoOtherFromItsRenewals()
    {
        OneSilentWorker client;
        WorkerFleet fleet(
            client, {}, [](const SchedulerEvent&) {}, [](const TaskKey&) { return false; });
        // Workers after the silent one, in its shard.
        std::vector<ListedInstance> workers { listed("a", 1) };
        int reachable = 0;
        for (char name = 'b'; name <= 'z'; ++name) {
            const WorkerId id(std::string(1, name));
            if (std::hash<WorkerId>()(id) % 8 == std::hash<WorkerId>()(WorkerId("a")) % 8) {
                workers.push_back(listed(id.value(), 2));
                ++reachable;
            }
        }
        CPPUNIT_ASSERT(reachable > 0);
        fleet.setWorkers(workers);
        fleet.begin(1, Time::max() - RunPermitPolicy().gracePeriod_, {});
        std::this_thread::sleep_for(std::chrono::seconds(6));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(client.answers_) + " answers of " + std::to_string(reachable) + " workers in 6 s", client.answers_ >= 2 * reachable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerSilenceTest);
