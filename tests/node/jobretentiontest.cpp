#include "node/jobretention.h"
#include "base/bootclock.h"
#include "node/poolfixture.h"
#include "node/storelayout.h"
#include "node/virtualclock.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

constexpr const char* otherJob = "10000000000000bb";
/** Longer than the time for which removable jobs are collected. */
constexpr Duration collection = 70s;

/** A pool in virtual time. */
class VirtualPool {
public:
    void runFor(Duration duration)
    {
        constexpr Duration tick = 25ms;
        for (Duration passed {}; passed < duration; passed += tick) {
            clock_.advance(tick);
            VirtualClock::poll(pool_.loop_);
        }
    }

    VirtualClock clock_;
    PoolFixture pool_;
};

/** The retention alone; the test removes the records. */
class RetentionUnderTest : public VirtualPool {
public:
    void addEndedJob(const std::string& job, bool isCancelled = false)
    {
        put(job, job);
        if (isCancelled)
            put(job, cancelKey(job));
        retention_.jobEnded(job, bootTimeNow());
    }

    void put(const std::string& job, const std::string& key, bool isKnown = true)
    {
        pool_.store_.put(intakeTable, key, "value", intakePartOf(job));
        if (isKnown)
            retention_.addRow(job, { key, "value", lastVersion(), false });
    }

    std::uint64_t lastVersion()
    {
        std::uint64_t version = 0;
        pool_.store_.read({ intakeTable, {}, {}, {} }, 1s, [&version](const tl::expected<RowPage, StoreFailure>& page) { version = page->timestamp_.version_; });
        VirtualClock::poll(pool_.loop_);
        return version;
    }

    bool isStored(const std::string& key) const { return pool_.store_.value(intakeTable, key).has_value(); }

    std::vector<std::string> recordsToRemove_;
    std::vector<std::string> removed_;
    std::vector<StoredRow> later_;
    bool mayWrite_ = true;
    JobRetention retention_ { pool_.loop_, pool_.store_, pool_.log_, {},
        { [this](const std::string& job) {
             CPPUNIT_ASSERT(isResubmitted_ || !isStored(job));
             recordsToRemove_.push_back(job);
         },
            [this](const std::string& job, const std::vector<StoredRow>& later) {
                removed_.push_back(job);
                later_ = later;
            },
            [this] { return mayWrite_; } } };
    bool isResubmitted_ = false;
};

std::string jobOfPart(int part, int number)
{
    char id[17];
    std::snprintf(id, sizeof(id), "%x%015d", static_cast<unsigned>(part), number);
    return id;
}

}

/** Tests that rows of ended jobs are removed, and that nothing else is. */
class JobRetentionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobRetentionTest);
    CPPUNIT_TEST(removesIntakeThenRecord);
    CPPUNIT_TEST(removesManyJobsInBoundedTransactions);
    CPPUNIT_TEST(refusedPartDelaysNoOther);
    CPPUNIT_TEST(rejectedRemovalIsNotRepeated);
    CPPUNIT_TEST(continuesAfterLostAnswer);
    CPPUNIT_TEST(lateRemovalSparesNewJob);
    CPPUNIT_TEST(holdsNewJobBackUntilRecordIsRemoved);
    CPPUNIT_TEST(newJobAfterLostAnswerIsKept);
    CPPUNIT_TEST(removesCancellationSeenByTheStoreOnly);
    CPPUNIT_TEST(ignoresStaleRowOfRemovedJob);
    CPPUNIT_TEST(removesCancellationOfUnknownJob);
    CPPUNIT_TEST(keepsJobThatWasCancelledAhead);
    CPPUNIT_TEST(keepsStateForItsTime);
    CPPUNIT_TEST(handOverDoesNotProlongRetention);
    CPPUNIT_TEST(removesOrphanedRecords);
    CPPUNIT_TEST(runsNewJobWithTheIdOfARemovedOne);
    CPPUNIT_TEST(cancelRowOfUnknownJobIsRemovedInTime);
    CPPUNIT_TEST(removesNothingWhileWritingIsNotAllowed);
    CPPUNIT_TEST_SUITE_END();

    /** Guards against a suspended lease holder that removes rows. */
    void removesNothingWhileWritingIsNotAllowed()
    {
        RetentionUnderTest pool;
        pool.mayWrite_ = false;
        pool.addEndedJob(jobId);
        pool.retention_.start();
        pool.runFor(collection);
        CPPUNIT_ASSERT(pool.isStored(jobId));
        pool.mayWrite_ = true;
        pool.runFor(2s);
        CPPUNIT_ASSERT(!pool.isStored(jobId));
    }

    void removesIntakeThenRecord()
    {
        RetentionUnderTest test;
        test.addEndedJob(jobId);
        test.addEndedJob(otherJob, true);
        test.put("2000000000000000", "2000000000000000");
        test.runFor(1s);
        CPPUNIT_ASSERT(test.isStored(jobId));
        test.retention_.start();
        test.runFor(collection);
        CPPUNIT_ASSERT(!test.isStored(jobId) && !test.isStored(otherJob) && !test.isStored(cancelKey(otherJob)));
        CPPUNIT_ASSERT(test.isStored("2000000000000000"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), test.recordsToRemove_.size());
        CPPUNIT_ASSERT(test.removed_.empty());
        test.retention_.recordRemoved(jobId);
        CPPUNIT_ASSERT_EQUAL(std::string(jobId), test.removed_.at(0));
    }

    /** Guards against rows of ended jobs that are never removed. */
    void removesManyJobsInBoundedTransactions()
    {
        RetentionUnderTest test;
        for (int i = 0; i < 300; ++i)
            test.addEndedJob(jobOfPart(i % 3, i));
        test.retention_.start();
        test.runFor(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(300), test.recordsToRemove_.size());
        CPPUNIT_ASSERT_EQUAL(12, test.pool_.store_.commitsSeen());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), test.retention_.endedJobs());
    }

    /** Guards against a retention that is judged by one part of the store. */
    void refusedPartDelaysNoOther()
    {
        RetentionUnderTest test;
        test.addEndedJob(jobId);
        test.addEndedJob(otherJob);
        test.pool_.store_.setRefusedParts({ intakePartOf(jobId) });
        test.retention_.start();
        test.runFor(collection);
        CPPUNIT_ASSERT(test.isStored(jobId));
        CPPUNIT_ASSERT(!test.isStored(otherJob));
        test.pool_.store_.setRefusedParts({});
        test.runFor(5s);
        CPPUNIT_ASSERT(!test.isStored(jobId));
    }

    /** Guards against a call that can't succeed and is repeated unchanged for ever. */
    void rejectedRemovalIsNotRepeated()
    {
        RetentionUnderTest test;
        test.addEndedJob(jobId);
        test.pool_.store_.setRejectedTable(intakeTable);
        test.retention_.start();
        test.runFor(collection + 60s);
        CPPUNIT_ASSERT_EQUAL(1, test.pool_.store_.commitsSeen());
        test.pool_.store_.setRejectedTable({});
        test.addEndedJob(otherJob);
        test.runFor(collection);
        CPPUNIT_ASSERT(!test.isStored(otherJob));
    }

    void continuesAfterLostAnswer()
    {
        RetentionUnderTest test;
        test.addEndedJob(jobId);
        test.addEndedJob(jobOfPart(0, 7));
        test.pool_.store_.loseAnswers(1);
        test.retention_.start();
        test.runFor(collection);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), test.recordsToRemove_.size());
    }

    /** Guards against an accepted job that is lost: a removal that the store executes seconds later hits a new job with the same id. */
    void lateRemovalSparesNewJob()
    {
        RetentionUnderTest test;
        test.addEndedJob(jobId);
        test.pool_.store_.holdBackCommits(1);
        test.retention_.start();
        test.runFor(collection);
        CPPUNIT_ASSERT(!test.isStored(jobId));
        test.put(jobId, jobId);
        CPPUNIT_ASSERT_EQUAL(0, test.pool_.store_.applyHeldBack());
        CPPUNIT_ASSERT(test.isStored(jobId));
    }

    void holdsNewJobBackUntilRecordIsRemoved()
    {
        RetentionUnderTest test;
        test.addEndedJob(jobId);
        test.retention_.start();
        test.runFor(collection);
        test.put(jobId, jobId, false);
        const std::uint64_t version = test.lastVersion();
        CPPUNIT_ASSERT(!test.retention_.addRow(jobId, { jobId, "new", version, false }));
        test.retention_.recordRemoved(jobId);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), test.later_.size());
        CPPUNIT_ASSERT(test.retention_.addRow(jobId, test.later_.front()));
        test.runFor(collection * 3);
        CPPUNIT_ASSERT(test.isStored(jobId));
    }

    /** Guards against an accepted job that is lost: its row appears before it is known that the former job's removal was applied. */
    void newJobAfterLostAnswerIsKept()
    {
        RetentionUnderTest test;
        test.isResubmitted_ = true;
        test.addEndedJob(jobId);
        test.pool_.store_.loseAnswers(1);
        test.retention_.start();
        while (test.isStored(jobId))
            test.runFor(25ms);
        test.put(jobId, jobId);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), test.recordsToRemove_.size());
        test.retention_.recordRemoved(jobId);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), test.later_.size());
        test.runFor(collection * 3);
        CPPUNIT_ASSERT(test.isStored(jobId));
    }

    void removesCancellationSeenByTheStoreOnly()
    {
        RetentionUnderTest test;
        test.addEndedJob(jobId);
        test.put(jobId, cancelKey(jobId), false);
        test.retention_.start();
        test.runFor(collection);
        CPPUNIT_ASSERT(!test.isStored(jobId) && !test.isStored(cancelKey(jobId)));
    }

    /** Guards against two runs of one task: a page read before the removal shows the job once its record is gone. */
    void ignoresStaleRowOfRemovedJob()
    {
        RetentionUnderTest test;
        test.addEndedJob(jobId);
        const StoredRow stale { jobId, "value", test.lastVersion(), false };
        test.retention_.start();
        test.runFor(collection);
        test.retention_.recordRemoved(jobId);
        test.runFor(10s);
        CPPUNIT_ASSERT(!test.retention_.addRow(jobId, stale));
    }

    /** Guards against a row for each id that was ever cancelled in vain. */
    void removesCancellationOfUnknownJob()
    {
        RetentionUnderTest test;
        test.put(jobId, cancelKey(jobId));
        test.retention_.jobEnded(jobId, bootTimeNow());
        test.retention_.start();
        test.runFor(collection);
        CPPUNIT_ASSERT(!test.isStored(cancelKey(jobId)));
        CPPUNIT_ASSERT(test.recordsToRemove_.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), test.removed_.size());
    }

    /** A submission that arrives after its cancellation is kept for as long as any ended job. */
    void keepsJobThatWasCancelledAhead()
    {
        for (const bool isRowSeen : { true, false }) {
            RetentionUnderTest test;
            test.put(jobId, cancelKey(jobId));
            test.retention_.jobEnded(jobId, bootTimeNow());
            test.retention_.start();
            test.runFor(30s);
            test.put(jobId, jobId, isRowSeen);
            test.runFor(collection * 2);
            CPPUNIT_ASSERT(test.isStored(jobId) && test.isStored(cancelKey(jobId)));
            test.retention_.addRow(jobId, { jobId, "value", test.lastVersion(), false });
            test.retention_.jobEnded(jobId, bootTimeNow());
            test.runFor(collection);
            CPPUNIT_ASSERT(!test.isStored(jobId) && !test.isStored(cancelKey(jobId)));
        }
    }

    void keepsStateForItsTime()
    {
        VirtualPool virtualPool;
        PoolFixture& pool = virtualPool.pool_;
        pool.settings_.endedJobTime_ = 300s;
        pool.addWorker("w1");
        const auto scheduler = pool.scheduler("a");
        pool.submit(jobId, oneTask());
        pool.submit(otherJob, oneTask());
        virtualPool.runFor(3s);
        pool.workers_.finish("w1", { jobId, 0, 0, 0 }, EndReason::Done);
        virtualPool.runFor(300s);
        CPPUNIT_ASSERT(pool.recordedState(jobId) == PoolJobState::Completed);
        CPPUNIT_ASSERT(pool.store_.value(intakeTable, jobId).has_value());
        CPPUNIT_ASSERT(scheduler->controller()->stateOf(jobId) == PoolJobState::Completed);
        virtualPool.runFor(60s + collection);
        CPPUNIT_ASSERT(!pool.store_.value(JobRecorder::table, jobId) && !pool.store_.value(intakeTable, jobId));
        CPPUNIT_ASSERT(!scheduler->controller()->stateOf(jobId));
        CPPUNIT_ASSERT(pool.recordedState(otherJob) == PoolJobState::Running);
        CPPUNIT_ASSERT(pool.store_.value(intakeTable, otherJob).has_value());
        CPPUNIT_ASSERT_EQUAL(1, pool.workers_.startCount({ jobId, 0, 0, 0 }));
    }

    /** Guards against rows that are kept for ever because the lease changes hands more often than they may be removed. */
    void handOverDoesNotProlongRetention()
    {
        VirtualPool virtualPool;
        PoolFixture& pool = virtualPool.pool_;
        pool.settings_.endedJobTime_ = 100s;
        pool.addWorker("w1");
        auto scheduler = pool.scheduler("a");
        pool.submit(jobId, oneTask());
        virtualPool.runFor(3s);
        pool.workers_.finish("w1", { jobId, 0, 0, 0 }, EndReason::Done);
        virtualPool.runFor(155s);
        CPPUNIT_ASSERT(pool.store_.value(intakeTable, jobId).has_value());
        scheduler = pool.scheduler("b");
        virtualPool.runFor(collection + 10s);
        CPPUNIT_ASSERT(!pool.store_.value(JobRecorder::table, jobId) && !pool.store_.value(intakeTable, jobId));
        CPPUNIT_ASSERT_EQUAL(1, pool.workers_.startCount({ jobId, 0, 0, 0 }));
    }

    /** A former holder removed the intake rows, but not the record any more. */
    void removesOrphanedRecords()
    {
        VirtualPool virtualPool;
        PoolFixture& pool = virtualPool.pool_;
        pool.store_.put(JobRecorder::table, jobId, encodePoolJobRecord({ PoolJobState::Completed, {} }), schedulerPart);
        pool.store_.put(JobRecorder::table, std::string(jobId) + ".7.000000000001", encodePoolJobTasks({}, {}), schedulerPart);
        const auto scheduler = pool.scheduler("a");
        virtualPool.runFor(5s);
        CPPUNIT_ASSERT(!pool.store_.value(JobRecorder::table, jobId));
        CPPUNIT_ASSERT(!pool.store_.value(JobRecorder::table, std::string(jobId) + ".7.000000000001"));
    }

    /** Guards against a row for each id that was ever cancelled in vain: its time counts from the cancellation, also across hand-overs. */
    void cancelRowOfUnknownJobIsRemovedInTime()
    {
        VirtualPool virtualPool;
        PoolFixture& pool = virtualPool.pool_;
        pool.settings_.endedJobTime_ = 100s;
        auto scheduler = pool.scheduler("a");
        virtualPool.runFor(1s);
        pool.store_.put(intakeTable, cancelKey(jobId), encodeCancellation(wholeMilliseconds(bootTimeNow().time_since_epoch())), intakePartOf(jobId));
        virtualPool.runFor(155s);
        CPPUNIT_ASSERT(pool.store_.value(intakeTable, cancelKey(jobId)).has_value());
        scheduler = pool.scheduler("b");
        virtualPool.runFor(collection + 10s);
        CPPUNIT_ASSERT(!pool.store_.value(intakeTable, cancelKey(jobId)));
    }

    void runsNewJobWithTheIdOfARemovedOne()
    {
        VirtualPool virtualPool;
        PoolFixture& pool = virtualPool.pool_;
        pool.settings_.endedJobTime_ = 1s;
        pool.addWorker("w1");
        const auto scheduler = pool.scheduler("a");
        pool.submit(jobId, oneTask());
        virtualPool.runFor(3s);
        pool.workers_.finish("w1", { jobId, 0, 0, 0 }, EndReason::Done);
        virtualPool.runFor(65s + collection);
        CPPUNIT_ASSERT(!pool.store_.value(intakeTable, jobId));
        pool.submit(jobId, oneTask());
        virtualPool.runFor(5s);
        CPPUNIT_ASSERT(pool.recordedState(jobId) == PoolJobState::Running);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.workers_.worker("w1").running_.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobRetentionTest);
