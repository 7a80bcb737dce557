#include "daemon/actionsequencer.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;

namespace {

const JobId job { "job-1" };
const JobId otherJob { "job-2" };

TaskKey task(int index, const JobId& of = job)
{
    return { of, 1, index };
}

RecordJob record(JobState state, const JobId& of = job)
{
    RecordJob record;
    record.job_ = of;
    record.state_ = state;
    return record;
}

PrepareTask prepare(int index, const JobId& of = job)
{
    return { task(index, of), WorkerId("w"), {}, {} };
}

}

/** Prepares and starts wait for durable records, so a store outage delays them; stops are never delayed. */
class ActionSequencerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ActionSequencerTest);
    CPPUNIT_TEST(holdsPreparesUntilRecordIsDurable);
    CPPUNIT_TEST(takesOneRecordPerJobAtATime);
    CPPUNIT_TEST(stopDropsWaitingCommandsOfItsTask);
    CPPUNIT_TEST(retriesRecordAfterFailedCommit);
    CPPUNIT_TEST_SUITE_END();

    void holdsPreparesUntilRecordIsDurable()
    {
        ActionSequencer sequencer;
        auto step = sequencer.add({ record(JobState::Placed), prepare(0), prepare(1), prepare(0, otherJob) });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, step.ready_.size());
        CPPUNIT_ASSERT(std::get<PrepareTask>(step.ready_[0]).task_.job_ == otherJob);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, sequencer.takeRecords(10).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, sequencer.committed(job).ready_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, sequencer.pendingRecords());
    }

    void takesOneRecordPerJobAtATime()
    {
        ActionSequencer sequencer;
        sequencer.add({ record(JobState::Queued), record(JobState::Placed), prepare(0), record(JobState::Queued, otherJob) });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, sequencer.takeRecords(10).size());
        CPPUNIT_ASSERT(!sequencer.hasRecordsToTake());
        CPPUNIT_ASSERT(sequencer.committed(job).ready_.empty());
        CPPUNIT_ASSERT(sequencer.takeRecords(10).front().state_ == JobState::Placed);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, sequencer.committed(job).ready_.size());
        CPPUNIT_ASSERT(sequencer.committed(job).ready_.empty());
    }

    void stopDropsWaitingCommandsOfItsTask()
    {
        ActionSequencer sequencer;
        sequencer.add({ record(JobState::Placed), prepare(0), prepare(1) });
        auto step = sequencer.add({ StopTask { task(0), WorkerId("w") } });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, step.ready_.size());
        CPPUNIT_ASSERT(std::holds_alternative<StopTask>(step.ready_[0]));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, step.dropped_.size());
        sequencer.takeRecords(10);
        step = sequencer.committed(job);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, step.ready_.size());
        CPPUNIT_ASSERT(std::get<PrepareTask>(step.ready_[0]).task_ == task(1));
    }

    void retriesRecordAfterFailedCommit()
    {
        ActionSequencer sequencer;
        sequencer.add({ record(JobState::Placed), prepare(0) });
        sequencer.takeRecords(10);
        CPPUNIT_ASSERT(sequencer.takeRecords(10).empty());
        sequencer.commitFailed(job);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, sequencer.takeRecords(10).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, sequencer.committed(job).ready_.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ActionSequencerTest);
