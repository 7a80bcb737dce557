#include "node/poolfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

TaskId task(int index = 0)
{
    return { jobId, 0, 0, index };
}

}

/** Jobs from the store to the workers and back, while answers are lost and holders change. */
class PoolControllerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PoolControllerTest);
    CPPUNIT_TEST(runsAJob);
    CPPUNIT_TEST(startWithoutAnswerIsSentAgain);
    CPPUNIT_TEST(lateStartOfAStoppedGangIsBarred);
    CPPUNIT_TEST(workerBackWithANewLifeRunsTheTaskAgain);
    CPPUNIT_TEST(silentWorkerIsWaitedOut);
    CPPUNIT_TEST(endReportedBeforeJobsAreLoadedIsNotLost);
    CPPUNIT_TEST(holderKilledBetweenRecordAndStart);
    CPPUNIT_TEST(holderKilledWhileTasksRun);
    CPPUNIT_TEST(allSchedulersKilledAtOnce);
    CPPUNIT_TEST(endedGangStaysEnded);
    CPPUNIT_TEST(formerHolderStartsNothing);
    CPPUNIT_TEST(commitWithoutAnswerIsFoundOut);
    CPPUNIT_TEST(lateCommitOfAFormerHolderDoesNotLand);
    CPPUNIT_TEST(cancelledJobIsStopped);
    CPPUNIT_TEST(unreadableWorkerIsNotUsed);
    CPPUNIT_TEST_SUITE_END();

    void runsAJob()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        const auto scheduler = pool.scheduler("a");
        pool.submit(jobId, oneTask());
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.beginsOf(task()) == 1; }));
        pool.workers_.finish("w1", task(), EndReason::Done);
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.recordedState(jobId) == PoolJobState::Completed; }));
        // The end is confirmed to the worker only once it is stored.
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.worker("w1").seenEnds_ == 1; }));
    }

    void startWithoutAnswerIsSentAgain()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        const auto scheduler = pool.scheduler("a");
        pool.workers_.loseStartAnswers(1, false);
        pool.submit(jobId, oneTask());
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.startsSeen() == 2; }));
        pool.runFor(300ms);
        CPPUNIT_ASSERT_EQUAL(1, pool.workers_.beginsOf(task()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.workers_.worker("w1").running_.size());
    }

    /** Every start of one member is lost: the gang is given up, and the orders that come late do nothing. */
    void lateStartOfAStoppedGangIsBarred()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        pool.addWorker("w2");
        const auto scheduler = pool.scheduler("a");
        pool.workers_.loseStartAnswers(1000, true);
        pool.submit(jobId, gang(2));
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.startsSeen() >= 2; }));
        // Stops are answered, so the run is barred where it never arrived.
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.worker("w1").barred_.size() + pool.workers_.worker("w2").barred_.size() == 2; }));
        pool.workers_.loseStartAnswers(0, false);
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.worker("w1").running_.size() + pool.workers_.worker("w2").running_.size() == 2; }));
        CPPUNIT_ASSERT_EQUAL(0, pool.workers_.carryOutLate());
        CPPUNIT_ASSERT(!pool.workers_.hasRunTwice());
    }

    void workerBackWithANewLifeRunsTheTaskAgain()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        const auto scheduler = pool.scheduler("a");
        pool.submit(jobId, oneTask());
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.beginsOf(task()) == 1; }));
        pool.runFor(1200ms);
        pool.workers_.reborn("w1");
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.beginsOf(task()) == 2; }));
        pool.workers_.finish("w1", task(), EndReason::Done);
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.recordedState(jobId) == PoolJobState::Completed; }));
    }

    /** The task of a worker that is cut off starts elsewhere, but not before its lease has lapsed. */
    void silentWorkerIsWaitedOut()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        const auto scheduler = pool.scheduler("a");
        pool.submit(jobId, oneTask());
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.beginsOf(task()) == 1; }));
        pool.addWorker("w2");
        pool.runFor(100ms);
        pool.workers_.worker("w1").isCut_ = true;
        pool.runFor(700ms);
        CPPUNIT_ASSERT_EQUAL(1, pool.workers_.beginsOf(task()));
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.beginsOf(task()) == 2; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.workers_.worker("w2").running_.size());
    }

    /** A new holder must not confirm ends of runs that it has not read yet. */
    void endReportedBeforeJobsAreLoadedIsNotLost()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        auto first = pool.scheduler("a");
        pool.submit(jobId, oneTask());
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.beginsOf(task()) == 1; }));
        first.reset();
        pool.workers_.finish("w1", task(), EndReason::Done);
        const auto second = pool.scheduler("b");
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.recordedState(jobId) == PoolJobState::Completed; }));
        CPPUNIT_ASSERT_EQUAL(1, pool.workers_.beginsOf(task()));
    }

    /** The place is stored, the start was never sent: the next holder asks the worker, then starts a new run. */
    void holderKilledBetweenRecordAndStart()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        auto first = pool.scheduler("a");
        CPPUNIT_ASSERT(pool.runUntil([&] { return first->controller() != nullptr && !first->controller()->state().workers_.empty(); }));
        pool.runFor(100ms);
        pool.submit(jobId, oneTask());
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.store_.value(JobRecorder::table, jobId).has_value(); }));
        first.reset();
        const auto second = pool.scheduler("b");
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.worker("w1").running_.size() == 1; }));
        pool.runFor(500ms);
        CPPUNIT_ASSERT(!pool.workers_.hasRunTwice());
        pool.workers_.finish("w1", task(), EndReason::Done);
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.recordedState(jobId) == PoolJobState::Completed; }));
    }

    void holderKilledWhileTasksRun()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        pool.addWorker("w2");
        auto first = pool.scheduler("a");
        pool.submit(jobId, gang(2));
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.beginsOf(task(0)) == 1 && pool.workers_.beginsOf(task(1)) == 1; }));
        first.reset();
        const auto second = pool.scheduler("b");
        CPPUNIT_ASSERT(pool.runUntil([&] { return second->controller() != nullptr; }));
        pool.runFor(500ms);
        CPPUNIT_ASSERT_EQUAL(1, pool.workers_.beginsOf(task(0)));
        for (const char* id : { "w1", "w2" }) {
            const std::map<TaskId, int> running = pool.workers_.worker(id).running_;
            for (const auto& [name, run] : running)
                pool.workers_.finish(id, name, EndReason::Done);
        }
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.recordedState(jobId) == PoolJobState::Completed; }));
    }

    /** The ends of a gang's members come one by one, while the record of the first is on its way. */
    void endedGangStaysEnded()
    {
        PoolFixture pool;
        for (const char* id : { "w1", "w2", "w3", "w4" })
            pool.addWorker(id);
        auto first = pool.scheduler("a");
        pool.submit(jobId, gang(4));
        CPPUNIT_ASSERT(pool.runUntil([&] {
            return pool.workers_.beginsOf(task(0)) + pool.workers_.beginsOf(task(1)) + pool.workers_.beginsOf(task(2)) + pool.workers_.beginsOf(task(3)) == 4;
        }));
        pool.runFor(50ms);
        for (const char* id : { "w1", "w2", "w3", "w4" }) {
            const std::map<TaskId, int> running = pool.workers_.worker(id).running_;
            for (const auto& [name, run] : running)
                pool.workers_.finish(id, name, EndReason::Done);
            pool.loop_.restart();
            pool.loop_.poll_one();
            pool.loop_.poll_one();
        }
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.recordedState(jobId) == PoolJobState::Completed; }));
        pool.runFor(300ms);
        CPPUNIT_ASSERT(pool.recordedState(jobId) == PoolJobState::Completed);
        first.reset();
        const auto second = pool.scheduler("b");
        CPPUNIT_ASSERT(pool.runUntil([&] { return second->controller() != nullptr; }));
        pool.runFor(300ms);
        CPPUNIT_ASSERT_EQUAL(1, pool.workers_.beginsOf(task(0)));
    }

    void allSchedulersKilledAtOnce()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        auto first = pool.scheduler("a");
        auto other = pool.scheduler("b");
        pool.submit(jobId, oneTask());
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.beginsOf(task()) == 1; }));
        first.reset();
        other.reset();
        pool.submit("00000000000000bb", oneTask());
        const auto next = pool.scheduler("c");
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.beginsOf({ "00000000000000bb", 0, 0, 0 }) == 1; }));
        CPPUNIT_ASSERT_EQUAL(1, pool.workers_.beginsOf(task()));
    }

    /** A holder that was paused past its lease is shut out by the chain and by the workers. */
    void formerHolderStartsNothing()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        auto first = pool.scheduler("a");
        CPPUNIT_ASSERT(pool.runUntil([&] { return first->controller() != nullptr && pool.workers_.worker("w1").fence_ > 0; }));
        const std::int64_t fence = pool.workers_.worker("w1").fence_;
        // Another instance takes over behind its back.
        const nlohmann::json lease { { "holder", "b" }, { "epoch", fence + 1 }, { "untilMs", std::int64_t(1) << 50 } };
        pool.store_.put("lease", "pool", lease.dump());
        pool.store_.put(PoolSchedulerLease::chainTable, PoolSchedulerLease::chainKey, PoolSchedulerLease::chainValue(fence + 1, 0));
        pool.workers_.worker("w1").fence_ = fence + 1;
        pool.submit(jobId, oneTask());
        CPPUNIT_ASSERT(pool.runUntil([&] { return first->controller() == nullptr; }));
        pool.runFor(200ms);
        CPPUNIT_ASSERT_EQUAL(0, pool.workers_.beginsOf(task()));
        CPPUNIT_ASSERT(!pool.store_.value(JobRecorder::table, jobId).has_value());
    }

    void commitWithoutAnswerIsFoundOut()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        const auto scheduler = pool.scheduler("a");
        CPPUNIT_ASSERT(pool.runUntil([&] { return scheduler->controller() != nullptr && pool.workers_.worker("w1").fence_ > 0; }));
        pool.runFor(100ms);
        pool.store_.loseAnswers(1);
        pool.submit(jobId, oneTask());
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.beginsOf(task()) == 1; }));
        CPPUNIT_ASSERT(scheduler->controller() != nullptr);
    }

    void lateCommitOfAFormerHolderDoesNotLand()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        auto first = pool.scheduler("a");
        CPPUNIT_ASSERT(pool.runUntil([&] { return first->controller() != nullptr && pool.workers_.worker("w1").fence_ > 0; }));
        pool.runFor(100ms);
        pool.store_.holdBack(1);
        pool.submit(jobId, oneTask());
        pool.runFor(20ms);
        first.reset();
        const auto second = pool.scheduler("b");
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.beginsOf(task()) == 1; }));
        CPPUNIT_ASSERT_EQUAL(0, pool.store_.landLate());
        pool.workers_.finish("w1", task(), EndReason::Done);
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.recordedState(jobId) == PoolJobState::Completed; }));
    }

    void cancelledJobIsStopped()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        const auto scheduler = pool.scheduler("a");
        pool.submit(jobId, oneTask());
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.beginsOf(task()) == 1; }));
        pool.store_.put(intakeTable, cancelKey(jobId), "{}");
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.worker("w1").running_.empty(); }));
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.recordedState(jobId) == PoolJobState::Cancelled; }));
        pool.runFor(200ms);
        CPPUNIT_ASSERT_EQUAL(1, pool.workers_.beginsOf(task()));
    }

    void unreadableWorkerIsNotUsed()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        pool.store_.put("registry", "w2", "?");
        pool.store_.put("registry", "w3", "r0 x ready");
        const auto scheduler = pool.scheduler("a");
        pool.submit(jobId, gang(2));
        pool.runFor(500ms);
        CPPUNIT_ASSERT_EQUAL(0, pool.workers_.startsSeen());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scheduler->controller()->state().workers_.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolControllerTest);
