#include "node/startgate.h"

#include "base/bootclock.h"
#include "node/poolfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

const TaskId task { jobId, 0, 0, 0 };

/** Counts how often entries are decoded. */
class CountingRegistryFormat : public FakeRegistryFormat {
public:
    Result<WorkerInfo> decode(const StoredRow& row) const override
    {
        ++decoded_;
        return FakeRegistryFormat::decode(row);
    }

    mutable int decoded_ = 0;
};

/** A pool with one worker, whose scheduler has read the registry and waits for changes. */
class ReadyPool : public PoolFixture {
public:
    explicit ReadyPool(Duration drainLimit = {})
    {
        settings_.drainLimit_ = drainLimit;
        addWorker("w1");
        scheduler_ = scheduler("a");
        CPPUNIT_ASSERT(runUntil([this] { return scheduler_->controller() != nullptr && workers_.worker("w1").epoch_ > 0; }));
        // A poll of the registry waits for changes, not for the pause between two polls.
        runFor(600ms);
    }

    /** Sends a start that its worker executes only with executeLateStarts(), and then revokes it. */
    void revokeUnansweredStart(const std::function<void()>& revoke)
    {
        workers_.loseStartAnswers(1, true);
        submit(jobId, oneTask());
        CPPUNIT_ASSERT(runUntil([this] { return workers_.startsSeen() == 1; }));
        revoke();
        CPPUNIT_ASSERT(runUntil([this] { return workers_.worker("w1").lastStoppedRuns_.count(task) > 0; }));
        runFor(400ms);
        CPPUNIT_ASSERT_EQUAL(1, workers_.startsSeen());
        CPPUNIT_ASSERT_EQUAL(0, workers_.executeLateStarts());
    }

    std::uint64_t withheld(const std::string& cause)
    {
        const auto& causes = scheduler_->controller()->startGate().withheldByCause();
        return causes.count(cause) > 0 ? causes.at(cause) : 0;
    }

    std::unique_ptr<SchedulerUnderTest> scheduler_;
};

}

/** Starts that are no longer permitted when they are to be sent, for the first time or again. */
class StartGateTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StartGateTest);
    CPPUNIT_TEST(startIsNotRepeatedOnDrainingWorker);
    CPPUNIT_TEST(startIsNotRepeatedOnDelistedWorker);
    CPPUNIT_TEST(startIsNotRepeatedInClosedDataCentre);
    CPPUNIT_TEST(sendsNoStartOnOldView);
    CPPUNIT_TEST(repeatsNoStartOnOldView);
    CPPUNIT_TEST(limitsNothingWithoutSettings);
    CPPUNIT_TEST(findsOutdatedView);
    CPPUNIT_TEST(pollsKeepViewsYoung);
    CPPUNIT_TEST(heartbeatIsNotDecoded);
    CPPUNIT_TEST(returningWorkerIsUsedAgain);
    CPPUNIT_TEST_SUITE_END();

    /** Guards against starts on draining workers: a start without an answer was repeated although its worker drained meanwhile. */
    void startIsNotRepeatedOnDrainingWorker()
    {
        ReadyPool pool;
        pool.revokeUnansweredStart([&pool] { pool.store_.put("registry", "w1", "r0 1 draining"); });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), pool.withheld("worker_draining"));
    }

    /** Guards against starts on workers that have left the registry. */
    void startIsNotRepeatedOnDelistedWorker()
    {
        ReadyPool pool;
        pool.revokeUnansweredStart([&pool] { pool.store_.erase("registry", "w1"); });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), pool.withheld("worker_delisted"));
    }

    /** Guards against starts in a data centre after the operator has closed it. */
    void startIsNotRepeatedInClosedDataCentre()
    {
        ReadyPool pool;
        pool.revokeUnansweredStart([&pool] { pool.scheduler_->controller()->setClosedDataCentres({ "dc" }); });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), pool.withheld("data_centre_closed"));
    }

    /** Guards against starts on workers that drain unseen: while the feed gave no answers, starts went on. */
    void sendsNoStartOnOldView()
    {
        ReadyPool pool(1s);
        pool.store_.setRefusingFeeds(true);
        pool.runFor(600ms);
        pool.submit(jobId, oneTask());
        pool.scheduler_->controller()->handleStoredIntake({ jobId, *pool.store_.value(intakeTable, jobId), 1, false });
        pool.runFor(500ms);
        CPPUNIT_ASSERT_EQUAL(0, pool.workers_.startsSeen());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), pool.withheld("registry_view"));
        pool.store_.setRefusingFeeds(false);
        CPPUNIT_ASSERT(pool.runUntil([&pool] { return pool.workers_.startCount(task) == 1; }));
    }

    /** Guards against the same for a start that was sent before and is repeated. */
    void repeatsNoStartOnOldView()
    {
        ReadyPool pool(1s);
        pool.workers_.loseStartAnswers(100, true);
        pool.store_.setRefusingFeeds(true);
        pool.submit(jobId, oneTask());
        pool.scheduler_->controller()->handleStoredIntake({ jobId, *pool.store_.value(intakeTable, jobId), 1, false });
        CPPUNIT_ASSERT(pool.runUntil([&pool] { return pool.withheld("registry_view") > 0; }));
        const int seen = pool.workers_.startsSeen();
        CPPUNIT_ASSERT(seen > 0);
        pool.runFor(500ms);
        CPPUNIT_ASSERT_EQUAL(seen, pool.workers_.startsSeen());
    }

    /** Guards against outages of the feed that stop the starts of a deployment without limits. */
    void limitsNothingWithoutSettings()
    {
        ReadyPool pool;
        pool.store_.setRefusingFeeds(true);
        pool.runFor(600ms);
        pool.submit(jobId, oneTask());
        pool.scheduler_->controller()->handleStoredIntake({ jobId, *pool.store_.value(intakeTable, jobId), 1, false });
        CPPUNIT_ASSERT(pool.runUntil([&pool] { return pool.workers_.startCount(task) == 1; }));
    }

    /** Guards against a view that is left out of the check, and against a margin that uses up a short bound. */
    void findsOutdatedView()
    {
        const Time now(100s);
        const ViewLimits limits { maxViewAge(3s, 500ms), maxViewAge(5s, 500ms), maxViewAge(600ms, 500ms) };
        CPPUNIT_ASSERT(limits.registry_ == 2500ms && limits.operatorRows_ == 4500ms && limits.intake_ == 300ms);
        CPPUNIT_ASSERT(!findOutdatedView({ now - 2500ms, now - 4500ms, now - 300ms }, limits, now));
        CPPUNIT_ASSERT(findOutdatedView({ now - 2501ms, now, now }, limits, now)->view_ == View::Registry);
        CPPUNIT_ASSERT(findOutdatedView({ now, now - 4501ms, now }, limits, now)->view_ == View::OperatorRows);
        CPPUNIT_ASSERT(findOutdatedView({ now, now, now - 301ms }, limits, now)->view_ == View::Intake);
        const auto worst = findOutdatedView({ now - 2600ms, now - 6s, now - 400ms }, limits, now);
        CPPUNIT_ASSERT(worst->view_ == View::OperatorRows && worst->age_ == 6s);
        CPPUNIT_ASSERT(!findOutdatedView({}, {}, now));
    }

    /** Guards against starts that are withheld because nothing changes: the answer to a long poll came after the view's limit. */
    void pollsKeepViewsYoung()
    {
        CPPUNIT_ASSERT(pollWaitFor(Duration::zero(), 2s, 400ms) == 2s);
        CPPUNIT_ASSERT(pollWaitFor(60s, 2s, 400ms) == 2s);
        for (const Duration maxAge : { Duration(300ms), Duration(1s), Duration(2500ms), Duration(4500ms) }) {
            const Duration pause = std::min<Duration>(400ms, maxAge / 4);
            const Duration wait = pollWaitFor(maxAge, 2s, pause);
            CPPUNIT_ASSERT(wait >= 50ms && 2 * wait + pause < maxAge);
        }
    }

    /** Guards against a holder that decodes thousands of entries a second in which nothing but the heartbeat has changed. */
    void heartbeatIsNotDecoded()
    {
        PoolFixture pool;
        const CountingRegistryFormat format;
        const NodeContext context { pool.loop_, pool.settings_, pool.log_, pool.store_, pool.workers_, pool.operatorFormat_, format, pool.callerFormat_, pool.clock_ };
        pool.addWorker("w1");
        pool.store_.put("registry", "w2", "r0 1 ready other a");
        const SchedulerUnderTest scheduler(context, "a");
        CPPUNIT_ASSERT(pool.runUntil([&pool] { return pool.workers_.worker("w1").epoch_ > 0; }));
        pool.runFor(600ms);
        const int decoded = format.decoded_;
        CPPUNIT_ASSERT(decoded >= 2);
        for (int i = 0; i < 3; ++i) {
            pool.store_.put("registry", "w1", "r0 1 ready");
            pool.store_.put("registry", "w2", "r0 1 ready other a");
        }
        pool.runFor(900ms);
        CPPUNIT_ASSERT_EQUAL(decoded, format.decoded_);
    }

    /** Guards against a worker that is taken for unchanged, and so never used again, when its entry returns as it was. */
    void returningWorkerIsUsedAgain()
    {
        ReadyPool pool;
        pool.store_.erase("registry", "w1");
        CPPUNIT_ASSERT(pool.runUntil([&pool] { return pool.scheduler_->controller()->state().workers_.empty(); }));
        pool.store_.put("registry", "w1", "r0 1 ready");
        pool.submit(jobId, oneTask());
        CPPUNIT_ASSERT(pool.runUntil([&pool] { return pool.workers_.startCount(task) == 1; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartGateTest);
