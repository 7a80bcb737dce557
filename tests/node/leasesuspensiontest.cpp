#include "node/suspensionfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

/** Tests that a term goes on after an outage of the store if, and only if, nobody else held the lease meanwhile. */
class LeaseSuspensionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LeaseSuspensionTest);
    CPPUNIT_TEST(resumesUnderItsEpoch);
    CPPUNIT_TEST(answerOfStorePromptsRenewal);
    CPPUNIT_TEST(renewalsDoNotPileUp);
    CPPUNIT_TEST(recognisesRenewalWhoseAnswerWasLost);
    CPPUNIT_TEST(renewalAppliedLateChangesNothing);
    CPPUNIT_TEST(renewalAppliedLateIsBuiltUpon);
    CPPUNIT_TEST(lateViewOfOwnRowIsIgnored);
    CPPUNIT_TEST(abandonsTermOnceAnotherTookTheLease);
    CPPUNIT_TEST(abandonsTermOnConflictAlone);
    CPPUNIT_TEST(abandonsTermWithoutRow);
    CPPUNIT_TEST(frozenHolderResumesOnlyByRenewal);
    CPPUNIT_TEST(expiryInRowNeverGoesBack);
    CPPUNIT_TEST(freezeDoesNotLengthenLease);
    CPPUNIT_TEST(releasesLeaseWhileSuspended);
    CPPUNIT_TEST_SUITE_END();

    /** Guards against a term that ends with each outage, so that all jobs are read again before the next start. */
    void resumesUnderItsEpoch()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        const std::int64_t epoch = fixture.epoch();
        const PoolController* const controller = fixture.controller();
        const int reads = fixture.pool_.store_.fullReads(JobRecorder::table);
        CPPUNIT_ASSERT(fixture.suspend());
        fixture.runFor(6s);
        CPPUNIT_ASSERT(!fixture.isHeld());
        CPPUNIT_ASSERT(fixture.resume(300ms));
        CPPUNIT_ASSERT_EQUAL(epoch, fixture.epoch());
        CPPUNIT_ASSERT(controller == fixture.controller());
        CPPUNIT_ASSERT_EQUAL(reads, fixture.pool_.store_.fullReads(JobRecorder::table));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.lease().resumptions());
        CPPUNIT_ASSERT(fixture.lease().suspendedTime(bootTimeNow()) > 6s);
        fixture.runFor(5s);
        CPPUNIT_ASSERT(fixture.isHeld());
    }

    /** Guards against a renewal that waits for its own timer, or for a read, although another call was answered. */
    void answerOfStorePromptsRenewal()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        CPPUNIT_ASSERT(fixture.suspend());
        fixture.runFor(700ms);
        const int commits = fixture.pool_.store_.commitsSeen();
        fixture.lease().storeAnswered();
        fixture.runFor(4ms);
        CPPUNIT_ASSERT_EQUAL(commits + 1, fixture.pool_.store_.commitsSeen());
    }

    /** Guards against a burden on the store from renewals that it doesn't apply while it answers reads. */
    void renewalsDoNotPileUp()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        fixture.pool_.store_.setCommitDelay(60s);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.lease().isSuspended(); }));
        fixture.pool_.store_.setCommitDelay(0s);
        fixture.pool_.store_.setRefusingWrites(true);
        int commits = fixture.pool_.store_.commitsSeen();
        fixture.runFor(3s);
        CPPUNIT_ASSERT(fixture.pool_.store_.commitsSeen() - commits <= 30);
        fixture.pool_.store_.setRefusingWrites(false);
        CPPUNIT_ASSERT(fixture.resume());
        // Without an answer each is waited for: with limits of 1.3 s and 0.6 s there are few at a time.
        CPPUNIT_ASSERT(fixture.suspend());
        commits = fixture.pool_.store_.commitsSeen();
        fixture.runFor(5s);
        CPPUNIT_ASSERT(fixture.pool_.store_.commitsSeen() - commits <= 6);
    }

    /** Guards against a term that is given up because its own renewal changed the row's version unnoticed. */
    void recognisesRenewalWhoseAnswerWasLost()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        const std::int64_t epoch = fixture.epoch();
        CPPUNIT_ASSERT(fixture.suspend());
        fixture.pool_.store_.setFeedsSilent(true);
        fixture.pool_.store_.loseAnswers(1);
        CPPUNIT_ASSERT(fixture.resume(1s));
        CPPUNIT_ASSERT_EQUAL(epoch, fixture.epoch());
        CPPUNIT_ASSERT(fixture.controller() != nullptr);
    }

    /** Guards against a renewal that is applied seconds after its successor and takes the row back to an earlier expiry. */
    void renewalAppliedLateChangesNothing()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        CPPUNIT_ASSERT(fixture.suspend());
        fixture.pool_.store_.holdBackCommits(1);
        CPPUNIT_ASSERT(fixture.resume(2s));
        fixture.runFor(2s);
        CPPUNIT_ASSERT_EQUAL(0, fixture.pool_.store_.applyHeldBack());
        fixture.runFor(2s);
        CPPUNIT_ASSERT(fixture.isHeld());
    }

    /** The same renewal applied while none after it was: its expiry has passed, and the next one builds upon its version. */
    void renewalAppliedLateIsBuiltUpon()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        const std::int64_t epoch = fixture.epoch();
        fixture.pool_.store_.holdBackCommits(100);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.lease().isSuspended(); }));
        fixture.pool_.store_.setSilent(true);
        fixture.runFor(4s);
        fixture.pool_.store_.holdBackCommits(0);
        // The renewal, and the commit with the number of waiting jobs.
        CPPUNIT_ASSERT_EQUAL(2, fixture.pool_.store_.applyHeldBack());
        fixture.runFor(20ms);
        CPPUNIT_ASSERT(!fixture.isHeld());
        CPPUNIT_ASSERT(fixture.resume());
        CPPUNIT_ASSERT_EQUAL(epoch, fixture.epoch());
    }

    /** Guards against a follower that shows an earlier version of the row, on which each renewal would fail. */
    void lateViewOfOwnRowIsIgnored()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        CPPUNIT_ASSERT(fixture.suspend());
        fixture.pool_.store_.setFeedsSilent(true);
        CPPUNIT_ASSERT(fixture.resume());
        fixture.runFor(3s);
        fixture.pool_.store_.setFeedsSilent(false); // delivers all versions of the last seconds
        const auto writes = fixture.leaseWrites_.size();
        fixture.runFor(2s);
        CPPUNIT_ASSERT(fixture.isHeld());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.lease().resumptions());
        CPPUNIT_ASSERT(fixture.leaseWrites_.size() <= writes + 5);
    }

    /** Guards against two holders: nothing is started or renewed by one whose lease was taken while it was suspended. */
    void abandonsTermOnceAnotherTookTheLease()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        fixture.pool_.store_.setCommitDelay(200ms);
        fixture.pool_.submit(jobId, oneTask());
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.controller()->state().runs_.size() == 1; }));
        fixture.pool_.store_.setCommitDelay(0ms);
        CPPUNIT_ASSERT(fixture.suspend());
        fixture.runFor(2s);
        fixture.takeOver();
        const auto writes = fixture.leaseWrites_.size();
        fixture.worker().lastPoll_ = {};
        fixture.pool_.store_.setSilent(false);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.controller() == nullptr; }, 500ms));
        fixture.runFor(3s);
        CPPUNIT_ASSERT_EQUAL(writes, fixture.leaseWrites_.size());
        CPPUNIT_ASSERT_EQUAL(0, fixture.starts());
        CPPUNIT_ASSERT(!fixture.worker().lastPoll_.leaseUntilMs_.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fixture.lease().resumptions());
    }

    /** The same if no read shows the row: the compare-and-set decides. */
    void abandonsTermOnConflictAlone()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        CPPUNIT_ASSERT(fixture.suspend());
        fixture.runFor(120ms); // renewals are at least 100 ms apart
        fixture.takeOver();
        const auto writes = fixture.leaseWrites_.size();
        fixture.pool_.store_.setFeedsSilent(true);
        fixture.lease().storeAnswered();
        fixture.pool_.store_.setSilent(false);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.controller() == nullptr; }, 10ms));
        CPPUNIT_ASSERT_EQUAL(writes, fixture.leaseWrites_.size());
    }

    /** Guards against a renewal that succeeds on a row that others have created and removed meanwhile. */
    void abandonsTermWithoutRow()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        CPPUNIT_ASSERT(fixture.suspend());
        fixture.pool_.store_.erase("lease", "pool");
        fixture.pool_.store_.dropHistory(); // so that the follower reads the table again
        fixture.pool_.store_.setSilent(false);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.controller() == nullptr; }, 3s));
    }

    /** Guards against a start by a process that was frozen for longer than its lease and doesn't know what happened meanwhile. */
    void frozenHolderResumesOnlyByRenewal()
    {
        for (const bool isTakenOver : { false, true }) {
            SuspensionFixture fixture;
            CPPUNIT_ASSERT(fixture.settle());
            fixture.pool_.store_.setCommitDelay(200ms);
            fixture.pool_.submit(jobId, oneTask());
            CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.controller()->state().runs_.size() == 1; }));
            // All that became due meanwhile happens at once when the process wakes.
            fixture.clock_.advance(20s);
            CPPUNIT_ASSERT(!fixture.isHeld());
            if (isTakenOver)
                fixture.takeOver();
            const auto writes = fixture.leaseWrites_.size();
            CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.starts() > 0; }, 2s) != isTakenOver);
            CPPUNIT_ASSERT_EQUAL(isTakenOver, fixture.leaseWrites_.size() == writes);
            CPPUNIT_ASSERT_EQUAL(isTakenOver ? std::uint64_t(0) : std::uint64_t(1), fixture.lease().resumptions());
        }
    }

    /** Guards against a holder that goes by an earlier renewal than the row shows: a candidate could acquire the lease before it stops. */
    void expiryInRowNeverGoesBack()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        // The renewals get shorter again after a slow time.
        fixture.pool_.store_.setCommitDelay(1200ms);
        fixture.runFor(6s);
        fixture.pool_.store_.setCommitDelay(0ms);
        fixture.runFor(6s);
        for (std::size_t i = 1; i < fixture.leaseWrites_.size(); ++i)
            CPPUNIT_ASSERT(fixture.leaseWrites_[i].untilMs_ >= fixture.leaseWrites_[i - 1].untilMs_);
    }

    /** Guards against a lease of many seconds, which nobody could take from a holder that dies, because a renewal was answered after a freeze. */
    void freezeDoesNotLengthenLease()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        const auto writes = fixture.leaseWrites_.size();
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.leaseWrites_.size() > writes; }));
        fixture.pool_.store_.setCommitDelay(100ms);
        fixture.runFor(550ms);
        fixture.clock_.advance(10s);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.isHeld(); }));
        fixture.runFor(1s);
        CPPUNIT_ASSERT(fixture.leaseWrites_.back().untilMs_ <= wholeMilliseconds(bootTimeNow().time_since_epoch()) + 3300);
    }

    /** Guards against candidates that wait for the expiry of a lease whose holder shut down during an outage. */
    void releasesLeaseWhileSuspended()
    {
        SuspensionFixture fixture;
        CPPUNIT_ASSERT(fixture.settle());
        fixture.pool_.store_.setCommitDelay(60s);
        CPPUNIT_ASSERT(fixture.runUntil([&] { return fixture.lease().isSuspended(); }));
        fixture.pool_.store_.setCommitDelay(0s);
        bool isDone = false;
        fixture.lease().release([&isDone] { isDone = true; });
        CPPUNIT_ASSERT(fixture.runUntil([&] { return isDone; }));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), fixture.leaseWrites_.back().untilMs_);
        CPPUNIT_ASSERT(fixture.controller() == nullptr);
        CPPUNIT_ASSERT(!fixture.lease().isSuspended());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseSuspensionTest);
