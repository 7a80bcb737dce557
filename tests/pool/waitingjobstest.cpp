#include "pool/limitedpool.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

/** Jobs count as waiting until a worker has started one of their tasks. */
class WaitingJobsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WaitingJobsTest);
    CPPUNIT_TEST(unansweredStartCounts);
    CPPUNIT_TEST(refusedStartCounts);
    CPPUNIT_TEST(reportedRunHasBegun);
    CPPUNIT_TEST(endedRunHasBegun);
    CPPUNIT_TEST(restoredJobCountsUntilItsRunIsReported);
    CPPUNIT_TEST(jobWithDoneTasksHasBegun);
    CPPUNIT_TEST_SUITE_END();

    static int waiting(const LimitedPool& pool) { return pool.scheduler_.waitingJobs().begin()->second; }

    static RunId placeOne(LimitedPool& pool)
    {
        pool.submit(LimitedPool::step(1), "a");
        CPPUNIT_ASSERT_EQUAL(1, waiting(pool));
        const std::vector<StartDecision> starts = pool.place();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), starts.size());
        CPPUNIT_ASSERT(pool.scheduler_.beginStart(starts.front().run_, pool.now_));
        pool.scheduler_.startSent(starts.front().run_, pool.now_);
        return starts.front().run_;
    }

public:
    /** Guards against jobs that are missing from the count: their start went to a worker that had fallen silent, and other work fills the pool. */
    void unansweredStartCounts()
    {
        LimitedPool pool(1);
        const RunId run = placeOne(pool);
        pool.scheduler_.startUnanswered(run);
        pool.scheduler_.setSilent(LimitedPool::workerKey(0), pool.now_, pool.now_);
        CPPUNIT_ASSERT_EQUAL(1, waiting(pool));
        pool.now_ += 10s;
        pool.scheduler_.workerLapsed(LimitedPool::workerKey(0), pool.now_);
        pool.place();
        CPPUNIT_ASSERT_EQUAL(1, waiting(pool));
    }

    /** The same for starts that workers refuse. */
    void refusedStartCounts()
    {
        LimitedPool pool(1);
        const RunId run = placeOne(pool);
        pool.scheduler_.startAnswered(run, StartAnswer::Refused, pool.now_);
        CPPUNIT_ASSERT_EQUAL(1, waiting(pool));
    }

    void reportedRunHasBegun()
    {
        LimitedPool pool(1);
        const RunId run = placeOne(pool);
        pool.scheduler_.startUnanswered(run);
        PoolWorkerReport report;
        report.running_ = { { run, "", 1 } };
        pool.scheduler_.report(LimitedPool::workerKey(0), report, pool.now_, pool.now_);
        CPPUNIT_ASSERT_EQUAL(0, waiting(pool));
    }

    void endedRunHasBegun()
    {
        LimitedPool pool(1);
        const RunId run = placeOne(pool);
        pool.scheduler_.startUnanswered(run);
        pool.end(run, EndReason::Failed);
        CPPUNIT_ASSERT_EQUAL(0, waiting(pool));
    }

    void restoredJobCountsUntilItsRunIsReported()
    {
        LimitedPool former(1);
        former.submit(LimitedPool::step(1), "a");
        const RunId run = former.startAll().front().run_;
        CPPUNIT_ASSERT_EQUAL(0, waiting(former));
        LimitedPool pool(1);
        pool.restore(run.task_.job_, former);
        CPPUNIT_ASSERT_EQUAL(1, waiting(pool));
        PoolWorkerReport report;
        report.running_ = { { run, "", 1 } };
        pool.scheduler_.report(LimitedPool::workerKey(0), report, pool.now_, pool.now_);
        CPPUNIT_ASSERT_EQUAL(0, waiting(pool));
    }

    void jobWithDoneTasksHasBegun()
    {
        LimitedPool former(1);
        const std::string job = former.submit(LimitedPool::step(2, 8), "a");
        former.end(former.startAll().front().run_);
        LimitedPool pool(1);
        pool.restore(job, former);
        CPPUNIT_ASSERT_EQUAL(0, waiting(pool));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingJobsTest);
