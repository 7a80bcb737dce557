#include "node/suspensionfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

TaskId task()
{
    return { jobId, 0, 0, 0 };
}

int passesOf(const PoolController& controller)
{
    const std::string metrics = controller.times().metrics();
    const std::string name = "fescuecleat_activity_seconds_count{activity=\"pass\"} ";
    const std::size_t at = metrics.find(name);
    CPPUNIT_ASSERT(at != std::string::npos);
    return std::stoi(metrics.substr(at + name.size()));
}

}

/** Tests what a suspended lease holder does, and what becomes of what it had begun. */
class SuspendedHolderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SuspendedHolderTest);
    CPPUNIT_TEST(startsNothingAndWritesOnlyRenewals);
    CPPUNIT_TEST(extendsNoWorkerLease);
    CPPUNIT_TEST(storesEndsOfItsRunsOnceItResumes);
    CPPUNIT_TEST(recognisesCommitThatLandedMeanwhile);
    CPPUNIT_TEST(repeatsCommitThatWasLost);
    CPPUNIT_TEST(commitThatLandsAfterTakeoverStartsNothing);
    CPPUNIT_TEST(sendsStoredStartOnce);
    CPPUNIT_TEST(sendsStartWithoutAnswerAgainOnceItResumes);
    CPPUNIT_TEST(waitsForReportOfRunWhoseLeaseMayHaveExpired);
    CPPUNIT_TEST(confirmsItsViewsAtOnce);
    CPPUNIT_TEST(passesAreRareMeanwhile);
    CPPUNIT_TEST_SUITE_END();

    /** Guards against a holder that goes on with work which the next holder can't know of. */
    void startsNothingAndWritesOnlyRenewals()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        const std::string laterJob = "00000000000000ab";
        fixture.pool_.submit(jobId, oneTask());
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.pool_.workers_.startCount(task()) == 1; }));
        // Only renewals fail, so that everything else would work.
        fixture.pool_.store_.setRejectedTable("lease");
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.lease().isSuspended(); }));
        fixture.pool_.workers_.finish("w1", task(), EndReason::Done);
        fixture.pool_.submit(laterJob, oneTask());
        fixture.runFor(2s);
        CPPUNIT_ASSERT(fixture.lease().isSuspended());
        CPPUNIT_ASSERT_EQUAL(1, fixture.starts());
        CPPUNIT_ASSERT(fixture.pool_.recordedState(jobId) != PoolJobState::Completed);
        CPPUNIT_ASSERT(!fixture.pool_.store_.value(JobRecorder::table, laterJob).has_value());
        CPPUNIT_ASSERT(!fixture.controller()->stateOf(jobId).has_value());
        fixture.pool_.store_.setRejectedTable({});
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.starts() == 2; }, 1500ms));
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.pool_.recordedState(jobId) == PoolJobState::Completed; }, 1500ms));
    }

    /** Guards against a next holder that believes a worker's lease expired which this one has extended. */
    void extendsNoWorkerLease()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        CPPUNIT_ASSERT(fixture.suspend());
        fixture.worker().lastPoll_ = {};
        fixture.worker().lastPoll_.leaseUntilMs_ = 1;
        fixture.runFor(5s);
        CPPUNIT_ASSERT(!fixture.worker().lastPoll_.leaseUntilMs_.has_value());
        CPPUNIT_ASSERT(fixture.resume());
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.worker().lastPoll_.leaseUntilMs_.has_value(); }, 2s));
    }

    /** Guards against an end that is acknowledged before it is stored, or that is forgotten over the suspension. */
    void storesEndsOfItsRunsOnceItResumes()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        fixture.pool_.submit(jobId, oneTask());
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.pool_.workers_.startCount(task()) == 1; }));
        CPPUNIT_ASSERT(fixture.suspend());
        fixture.pool_.workers_.finish("w1", task(), EndReason::Done);
        fixture.runFor(5s);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), fixture.worker().acknowledgedEnds_);
        CPPUNIT_ASSERT(fixture.pool_.recordedState(jobId) != PoolJobState::Completed);
        CPPUNIT_ASSERT(fixture.resume());
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.pool_.recordedState(jobId) == PoolJobState::Completed; }, 100ms));
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.worker().acknowledgedEnds_ == 1; }, 2s));
        CPPUNIT_ASSERT_EQUAL(1, fixture.pool_.workers_.startCount(task()));
    }

    /** Submits a job whose record is on its way when the holder is suspended. */
    static void suspendDuringCommit(SuspensionFixture& fixture)
    {
        fixture.pool_.store_.holdBackCommits(1);
        fixture.pool_.submit(jobId, oneTask());
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.controller()->state().runs_.size() == 1; }, 300ms));
        fixture.runFor(6ms);
        CPPUNIT_ASSERT(fixture.suspend());
        fixture.runFor(2s);
        CPPUNIT_ASSERT_EQUAL(0, fixture.starts());
    }

    /** Guards against a record that is written twice, or a term that is given up for its own commit, as that landed late. */
    void recognisesCommitThatLandedMeanwhile()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        suspendDuringCommit(fixture);
        CPPUNIT_ASSERT_EQUAL(1, fixture.pool_.store_.applyHeldBack());
        CPPUNIT_ASSERT(fixture.resume());
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.starts() == 1; }, 100ms));
        fixture.runFor(2s);
        CPPUNIT_ASSERT(fixture.isHeld());
        CPPUNIT_ASSERT_EQUAL(1, fixture.pool_.workers_.startCount(task()));
    }

    /** Guards against a start that waits for the limit of a commit which was sent during the outage, and for a lost one for good. */
    void repeatsCommitThatWasLost()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        suspendDuringCommit(fixture);
        CPPUNIT_ASSERT(fixture.resume());
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.starts() == 1; }, 100ms));
        // The lost one is applied after its repetition: the chain row refuses it.
        CPPUNIT_ASSERT_EQUAL(0, fixture.pool_.store_.applyHeldBack());
        fixture.runFor(2s);
        CPPUNIT_ASSERT_EQUAL(1, fixture.pool_.workers_.startCount(task()));
    }

    /** Guards against a record of the former holder that changes what the next one has read. */
    void commitThatLandsAfterTakeoverStartsNothing()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        suspendDuringCommit(fixture);
        fixture.takeOver();
        CPPUNIT_ASSERT_EQUAL(0, fixture.pool_.store_.applyHeldBack());
        fixture.pool_.store_.setSilent(false);
        fixture.runFor(3s);
        CPPUNIT_ASSERT(fixture.controller() == nullptr);
        CPPUNIT_ASSERT_EQUAL(0, fixture.starts());
        CPPUNIT_ASSERT(!fixture.pool_.store_.value(JobRecorder::table, jobId).has_value());
    }

    /** Guards against a start that is sent while suspended, never, or twice, though its record was stored before. */
    void sendsStoredStartOnce()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        fixture.pool_.store_.setRejectedTable("lease");
        // The record is committed before the lease expires, and its answer comes afterwards.
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.lease().isHeld(bootTimeNow() + 100ms); }));
        fixture.pool_.store_.setCommitDelay(400ms);
        fixture.pool_.submit(jobId, oneTask());
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.lease().isSuspended(); }));
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.pool_.store_.value(JobRecorder::table, jobId).has_value(); }));
        fixture.runFor(2s);
        CPPUNIT_ASSERT(fixture.lease().isSuspended());
        CPPUNIT_ASSERT_EQUAL(0, fixture.starts());
        fixture.pool_.store_.setCommitDelay(0ms);
        fixture.pool_.store_.setRejectedTable({});
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.starts() == 1; }, 1s));
        fixture.runFor(1s);
        CPPUNIT_ASSERT_EQUAL(1, fixture.starts());
    }

    /** Guards against a request for a start that is repeated while suspended, or dropped so that the task hangs. */
    void sendsStartWithoutAnswerAgainOnceItResumes()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        fixture.pool_.store_.setSilent(true);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return !fixture.lease().isHeld(bootTimeNow() + 200ms); }));
        fixture.pool_.store_.setSilent(false);
        fixture.pool_.store_.setRejectedTable("lease");
        fixture.pool_.workers_.loseStartAnswers(1, true);
        fixture.pool_.submit(jobId, oneTask());
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.starts() == 1; }, 200ms));
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.lease().isSuspended(); }));
        const int starts = fixture.starts();
        fixture.runFor(500ms);
        CPPUNIT_ASSERT_EQUAL(starts, fixture.starts());
        fixture.pool_.store_.setRejectedTable({});
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.pool_.workers_.startCount(task()) == 1; }, 1s));
        fixture.pool_.workers_.executeLateStarts();
        fixture.runFor(1s);
        CPPUNIT_ASSERT(!fixture.pool_.workers_.hadOverlappingRuns());
    }

    /** Guards against a second run of a task whose worker's lease may have expired: only the worker or certain expiry ends the first. */
    void waitsForReportOfRunWhoseLeaseMayHaveExpired()
    {
        SuspensionFixture fixture;
        fixture.pool_.addWorker("w2");
        CPPUNIT_ASSERT(fixture.settle());
        fixture.pool_.submit(jobId, oneTask());
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.pool_.workers_.startCount(task()) == 1; }));
        const std::string holding = fixture.pool_.workers_.worker("w1").running_.empty() ? "w2" : "w1";
        CPPUNIT_ASSERT(fixture.suspend());
        fixture.runFor(6s); // the lease of 1.5 s has expired by then, if the worker goes by it
        CPPUNIT_ASSERT(fixture.resume());
        fixture.runFor(2s);
        CPPUNIT_ASSERT_EQUAL(1, fixture.pool_.workers_.startCount(task()));
        fixture.pool_.workers_.finish(holding, task(), EndReason::LeaseExpired);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.pool_.workers_.startCount(task()) == 2; }, 2s));
        CPPUNIT_ASSERT(!fixture.pool_.workers_.hadOverlappingRuns());
    }

    /** Guards against views that stay as old as the outage until a poll ends that was sent during it. */
    void confirmsItsViewsAtOnce()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        TableFollower follower(fixture.pool_.loop_, fixture.pool_.store_, fixture.pool_.clock_, fixture.pool_.log_, { "table" }, 2000ms, {});
        follower.start();
        fixture.runFor(100ms);
        const Time before = bootTimeNow();
        CPPUNIT_ASSERT(follower.currentAsOf() < before);
        follower.refresh();
        fixture.runFor(10ms);
        CPPUNIT_ASSERT(follower.currentAsOf() >= before);
        // The poll that was given up is answered later, to nobody.
        fixture.pool_.store_.put("table", "key", "value");
        fixture.runFor(10ms);
        CPPUNIT_ASSERT(follower.version() > 0);
        // A job that was stored during the outage is seen although no feed reports it.
        CPPUNIT_ASSERT(fixture.suspend());
        fixture.pool_.submit(jobId, oneTask());
        CPPUNIT_ASSERT(fixture.resume());
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.starts() == 1; }, 100ms));
    }

    /** Guards against an instance that spends its processor time on passes which may not start anything. */
    void passesAreRareMeanwhile()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        fixture.pool_.submit(jobId, oneTask());
        CPPUNIT_ASSERT(fixture.suspend());
        const int before = passesOf(*fixture.controller());
        fixture.runFor(2s);
        const int passes = passesOf(*fixture.controller()) - before;
        CPPUNIT_ASSERT(passes > 0 && passes <= 60);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspendedHolderTest);
