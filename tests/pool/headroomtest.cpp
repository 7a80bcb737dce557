#include "pool/virtualpool.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

constexpr Resources workerCapacity { 64000, 262144, 8 };

/** Tasks that run until their job is cancelled, at most one on each worker. */
StepSpec lastingTasks(int tasks, std::int64_t accelerators)
{
    StepSpec step = tasksOf(tasks, 1s);
    step.resources_.accelerators_ = accelerators;
    step.isLongRunning_ = true;
    step.resources_.cpuMillis_ *= accelerators;
    step.maxTasksPerWorker_ = 1;
    return step;
}

StepSpec wholeWorkers(int tasks, Duration estimate)
{
    StepSpec step = tasksOf(tasks, estimate);
    step.resources_ = { 56000, 1000, workerCapacity.accelerators_ };
    return step;
}

std::string submitWith(VirtualPool& pool, const StepSpec& step, double stretch)
{
    PoolJobSpec spec;
    spec.steps_.push_back(step);
    JobPolicy policy;
    policy.service_ = "service";
    policy.organisation_ = "org";
    policy.priority_ = 1;
    policy.maxAttempts_ = 3;
    policy.stretch_ = stretch;
    policy.latencyTarget_ = 250ms;
    return pool.submit(spec, policy);
}

/** Submits a job whose credit expires soon. */
std::string submitShort(VirtualPool& pool, const StepSpec& step)
{
    return submitWith(pool, step, 1.5);
}

/** Ten workers, eight of which hold a part of a job that lasts. The two idle ones are the headroom. */
class FragmentedPool : public VirtualPool {
public:
    explicit FragmentedPool(std::int64_t lastingAccelerators = 1)
    {
        addWorkers(10, 5, workerCapacity);
        const std::string lasting = submit(lastingTasks(8, lastingAccelerators), 1);
        setDurationFactor(lasting, 1e6);
        advance(1s);
        CPPUNIT_ASSERT_EQUAL(8 * lastingAccelerators, usedAccelerators());
    }
};

}

/** Idle workers are kept free for urgent jobs, but not from work that can't start elsewhere. */
class HeadroomTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HeadroomTest);
    CPPUNIT_TEST(expiredJobStartsBesideLastingTasks);
    CPPUNIT_TEST(patientJobStartsBesideLastingTasks);
    CPPUNIT_TEST(expiredJobStartsBesideLargeLastingTasks);
    CPPUNIT_TEST(patientGangStartsBesideLastingTasks);
    CPPUNIT_TEST(lostLastingTaskRestartsInHeadroom);
    CPPUNIT_TEST(failedLastingTaskRestartsBesideLargeJobs);
    CPPUNIT_TEST(failedLastingTaskRestartsBeforeExpiredJobs);
    CPPUNIT_TEST(lastingTasksSpreadOverHeadroom);
    CPPUNIT_TEST(silentWorkersAddNoHeadroom);
    CPPUNIT_TEST(expiredJobStartsInBusyPool);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against jobs that are never started beside idle workers: past its credit, a job waited for workers of which tasks that last hold a part. */
    void expiredJobStartsBesideLastingTasks()
    {
        startExpiredJob(1);
    }

    /** The same for a job that has much time, and would have started only just before its latest start. */
    void patientJobStartsBesideLastingTasks()
    {
        FragmentedPool pool;
        const std::string job = pool.submit(wholeWorkers(1, 60s), 1);
        pool.advance(1s);
        CPPUNIT_ASSERT(pool.timeToStart(job));
        assertNoViolations(pool);
    }

    /** The first also holds where the tasks that last fill more than half of the pool. */
    void expiredJobStartsBesideLargeLastingTasks()
    {
        startExpiredJob(7);
    }

    /** The same for a gang. */
    void patientGangStartsBesideLastingTasks()
    {
        FragmentedPool pool;
        const std::string gang = pool.submit(gangOf(2, 8, 60s), 1);
        pool.advance(1s);
        CPPUNIT_ASSERT(pool.timeToStart(gang));
        assertNoViolations(pool);
    }

    /** Guards against tasks that last and are never restarted once the credit of a job of their length would have expired. */
    void lostLastingTaskRestartsInHeadroom()
    {
        FragmentedPool pool;
        StepSpec step = wholeWorkers(1, 1s);
        step.isLongRunning_ = true;
        const std::string lasting = pool.submit(step, 1);
        pool.setDurationFactor(lasting, 1e6);
        pool.advance(20s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.workersOf(lasting).size());
        const std::string worker = *pool.workersOf(lasting).begin();
        for (int i = 0; i < 10; ++i) {
            if (pool.worker(i).info_.key_.id_ == worker)
                pool.crash({ i }, 1h);
        }
        pool.scheduler().workerLost({ worker, 1 }, "its lease has expired", pool.now());
        pool.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.workersOf(lasting).size());
        assertNoViolations(pool);
    }

    /** Guards against tasks that last and fail while large jobs wait: these took the room that was left, and the headroom was closed to the task. */
    void failedLastingTaskRestartsBesideLargeJobs()
    {
        VirtualPool pool;
        pool.addWorkers(15, 5, workerCapacity);
        const std::string lasting = pool.submit(lastingTasks(1, 1), 2);
        pool.setDurationFactor(lasting, 1e6);
        pool.advance(20s);
        pool.submit(wholeWorkers(24, 10s), 1);
        pool.advance(2s);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(11 * 8 + 1), pool.usedAccelerators());
        const std::string worker = *pool.workersOf(lasting).begin();
        for (int i = 0; i < 15; ++i)
            pool.worker(i).failsRuns_ = pool.worker(i).info_.key_.id_ == worker;
        pool.advance(50ms);
        for (int i = 0; i < 15; ++i)
            pool.worker(i).failsRuns_ = false;
        pool.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.workersOf(lasting).size());
        assertNoViolations(pool);
    }

    /** Guards against tasks that last and come after jobs past their credit, as if they couldn't earn any more either. */
    void failedLastingTaskRestartsBeforeExpiredJobs()
    {
        VirtualPool pool;
        pool.addWorkers(1, 1, workerCapacity);
        StepSpec step = lastingTasks(1, 8);
        step.estimate_ = 20s;
        const std::string lasting = pool.submit(step, 1);
        pool.setDurationFactor(lasting, 1e6);
        pool.advance(1s);
        submitShort(pool, wholeWorkers(1, 1s));
        pool.advance(200s);
        pool.worker(0).failsRuns_ = true;
        pool.advance(50ms);
        pool.worker(0).failsRuns_ = false;
        pool.advance(500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.workersOf(lasting).size());
        assertNoViolations(pool);
    }

    /** Guards against tasks beyond the limit of a step for each worker, which waited for workers that hold others of the step for good. */
    void lastingTasksSpreadOverHeadroom()
    {
        VirtualPool pool;
        pool.addWorkers(10, 5, workerCapacity);
        StepSpec step = lastingTasks(10, 6);
        step.estimate_ = 60s;
        const std::string lasting = pool.submit(step, 1);
        pool.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), pool.workersOf(lasting).size());
        assertNoViolations(pool);
    }

    /** Guards against headroom that takes all workers that are left: its share was taken of lost ones, too. */
    void silentWorkersAddNoHeadroom()
    {
        VirtualPool pool;
        pool.addWorkers(10, 5, workerCapacity);
        pool.crash({ 0, 1, 2, 3, 4, 5 }, 1h);
        const std::string job = pool.submit(wholeWorkers(4, 60s), 1);
        pool.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), pool.workersOf(job).size());
        assertNoViolations(pool);
    }

    /** Guards against jobs past their credit that wait without end beside headroom, as other work always holds a part of each other worker. */
    void expiredJobStartsInBusyPool()
    {
        VirtualPool pool;
        pool.addWorkers(10, 5, workerCapacity);
        StepSpec others = tasksOf(8, 3s);
        others.resources_ = { 30000, 1000, 3 };
        others.maxTasksPerWorker_ = 1;
        const auto advance = [&](int batches) {
            for (int i = 0; i < batches; ++i) {
                submitWith(pool, others, 100);
                pool.advance(1500ms);
            }
        };
        advance(2);
        const std::string first = submitShort(pool, wholeWorkers(2, 1s));
        pool.setDurationFactor(first, 9);
        const std::string job = submitShort(pool, wholeWorkers(1, 1s));
        advance(6);
        CPPUNIT_ASSERT(!pool.timeToStart(job));
        advance(8);
        CPPUNIT_ASSERT(pool.state(job) == PoolJobState::Completed);
        assertNoViolations(pool);
    }

private:
    static void startExpiredJob(std::int64_t lastingAccelerators)
    {
        FragmentedPool pool(lastingAccelerators);
        const std::string first = submitShort(pool, wholeWorkers(2, 1s));
        pool.setDurationFactor(first, 9);
        pool.advance(1s);
        const std::string job = submitShort(pool, wholeWorkers(1, 1s));
        pool.advance(7500ms);
        CPPUNIT_ASSERT(!pool.timeToStart(job));
        pool.advance(2s);
        CPPUNIT_ASSERT(pool.state(first) == PoolJobState::Completed);
        CPPUNIT_ASSERT(pool.state(job) == PoolJobState::Completed);
        assertNoViolations(pool);
    }

    static void assertNoViolations(const VirtualPool& pool)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(pool.violations().empty() ? std::string() : pool.violations().front(), std::size_t(0), pool.violations().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeadroomTest);
