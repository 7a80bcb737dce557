#include "worker/workerfleet.h"

#include <algorithm>
#include <condition_variable>
#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;

namespace {

/** One worker that answers renewals at once or, while they are held, when they are let go. */
class FakeWorkerClient : public WorkerClient {
public:
    Result<WorkerReport> renew(const Address&, std::uint64_t epoch, std::int64_t untilMicros, const std::vector<TaskKey>&, Time) override
    {
        std::unique_lock<std::mutex> lock(mutex_);
        untilMicros_.push_back(untilMicros);
        if (epoch != answeredEpoch_)
            return tl::unexpected<Error>(Error { ErrorKind::Unavailable, "no answer", "", "" });
        WorkerReport report;
        report.clockMicros_ = monotonicNow().time_since_epoch().count();
        report.epoch_ = epoch;
        if (holdsGrants_ && untilMicros > 0) {
            isHeld_ = true;
            changed_.notify_all();
            changed_.wait(lock, [this] { return !holdsGrants_; });
            isHeld_ = false;
        }
        return report;
    }

    WorkerAnswer prepare(const Address&, std::uint64_t, const PreparedTask&, Time) override { return WorkerNotReached {}; }
    WorkerAnswer start(const Address&, std::uint64_t, const TaskKey&, std::int64_t, Time) override { return WorkerNotReached {}; }
    WorkerAnswer checkpoint(const Address&, std::uint64_t, const TaskKey&, std::int64_t, Time) override { return WorkerNotReached {}; }
    WorkerAnswer stop(const Address&, std::uint64_t, const TaskKey&, Time) override { return WorkerNotReached {}; }
    WorkerAnswer throttle(const Address&, std::uint64_t, const TaskKey&, Time) override { return WorkerNotReached {}; }

    void answerOnly(std::uint64_t epoch)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        answeredEpoch_ = epoch;
    }

    void holdGrants(bool holds)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        holdsGrants_ = holds;
        changed_.notify_all();
    }

    bool waitUntilHeld()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        return changed_.wait_for(lock, std::chrono::seconds(20), [this] { return isHeld_; });
    }

    std::vector<std::int64_t> untilMicros() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return untilMicros_;
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t answeredEpoch_ = 1;
    bool holdsGrants_ = false;
    bool isHeld_ = false;
    std::vector<std::int64_t> untilMicros_;
};

std::vector<ListedInstance> oneWorker()
{
    ListedInstance worker;
    worker.id_ = "w1";
    worker.role_ = InstanceRole::Worker;
    worker.address_ = { "127.0.0.1", 1 };
    return { worker };
}

}

/** What a term of the scheduler believes of a worker comes from answers to its own renewals. */
class WorkerFleetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkerFleetTest);
    CPPUNIT_TEST(answerToAnEarlierTermIsIgnored);
    CPPUNIT_TEST(gracePeriodRunsFromTheEndOfTheLease);
    CPPUNIT_TEST_SUITE_END();

    /** Guards against giving up a run because a report that was requested in an earlier term lacks it. */
    void answerToAnEarlierTermIsIgnored()
    {
        const RunPermitPolicy policy;
        std::atomic<int> events { 0 };
        FakeWorkerClient client;
        client.holdGrants(true);
        WorkerFleet fleet(
            client, policy, [&](const SchedulerEvent&) { ++events; }, [](const TaskKey&) { return false; });
        fleet.setWorkers(oneWorker());
        fleet.begin(1, Time::max() - policy.gracePeriod_, {});
        CPPUNIT_ASSERT(client.waitUntilHeld());
        client.answerOnly(2);
        fleet.begin(3, Time::max() - policy.gracePeriod_, {});
        const std::uint64_t unanswered = fleet.counts().unanswered_;
        client.holdGrants(false);
        // The next renewal follows the handling of the held answer.
        while (fleet.counts().unanswered_ == unanswered)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        CPPUNIT_ASSERT_EQUAL(0, events.load());
        CPPUNIT_ASSERT(!fleet.toWorkerClock(WorkerId("w1"), monotonicNow()));
    }

    /** Guards against permits of a holder that was paused, on a worker that its successor can't reach and takes for stopped. */
    void gracePeriodRunsFromTheEndOfTheLease()
    {
        RunPermitPolicy policy;
        policy.renewalInterval_ = std::chrono::milliseconds(20);
        policy.gracePeriod_ = std::chrono::seconds(1);
        FakeWorkerClient client;
        WorkerFleet fleet(
            client, policy, [](const SchedulerEvent&) {}, [](const TaskKey&) { return false; });
        fleet.setWorkers(oneWorker());
        const Time leaseUntil = monotonicNow() + std::chrono::milliseconds(100);
        fleet.begin(1, leaseUntil, {});
        std::this_thread::sleep_until(leaseUntil + policy.gracePeriod_ / 2);
        fleet.suspend();
        std::this_thread::sleep_until(leaseUntil + 2 * policy.gracePeriod_);
        const std::vector<std::int64_t> granted = client.untilMicros();
        const Time latest(Duration(*std::max_element(granted.begin(), granted.end())));
        CPPUNIT_ASSERT(latest > leaseUntil + policy.permitDuration_);
        CPPUNIT_ASSERT(latest <= leaseUntil + policy.gracePeriod_ + policy.permitDuration_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerFleetTest);
