#include "state/jobstore.h"

#include "control/controlrecords.h"
#include "state/rowkeys.h"
#include "support/faketable.h"
#include "support/property.h"

using namespace fescuecleat;

namespace {

const DataCentreId catania("catania");
const DataCentreId palermo("palermo");
const Time noDeadline = Time::max();

JobSpec spec(const std::string& id, const std::string& key = {})
{
    JobSpec spec;
    spec.id_ = JobId(id);
    spec.organisation_ = OrganisationId("studio");
    spec.idempotencyKey_ = key;
    spec.tasks_ = 2;
    spec.payload_ = "{\"church\": \"San Domenico\"}";
    return spec;
}

JobChange toState(const StoredJob& job, JobState state)
{
    JobChange change { job, state, job.record_.attempt_, job.record_.placement_, job.record_.failures_, job.record_.checkpointedShare_, {}, false };
    if (state == JobState::Placed) {
        ++change.attempt_;
        change.placement_ = { WorkerId("w1"), WorkerId("w2") };
    }
    return change;
}

}

/** The job store under lost responses, stale lease holders and repeated calls. */
class JobStoreTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobStoreTest);
    CPPUNIT_TEST(repeatedKeyYieldsOneJob);
    CPPUNIT_TEST(repeatsAfterLostAnswersRecordOnce);
    CPPUNIT_TEST(fencesAStaleHolder);
    CPPUNIT_TEST(movesAtomically);
    CPPUNIT_TEST(escapesNamesInKeys);
    CPPUNIT_TEST(recordsRoundTripThroughTheirFormat);
    CPPUNIT_TEST_SUITE_END();

    FakeTable table_;
    WriteIds writeIds_ { "test" };
    JobStore store_ { table_, writeIds_ };

    LeaseFence beginEpoch(const DataCentreId& dataCentre, std::uint64_t epoch)
    {
        const LeaseRecord record { InstanceId("i" + std::to_string(epoch)), epoch, {} };
        const Transaction transaction { writeIds_.next(), {}, { { rowkeys::lease(dataCentre), writeLeaseRecord(record) } } };
        return { dataCentre, epoch, std::get<Committed>(*table_.commit(transaction, noDeadline)).revision_ };
    }

    StoredJob submitted(const std::string& id)
    {
        CPPUNIT_ASSERT(store_.submit(spec(id), catania, 1000, noDeadline));
        return **store_.find(JobId(id), { catania, palermo }, noDeadline);
    }

    StoredJob recorded(const JobChange& change, const LeaseFence& fence)
    {
        return std::get<Recorded>(*store_.record({ change }, fence, 2000, noDeadline)).jobs_.front();
    }

    void repeatedKeyYieldsOneJob()
    {
        table_.loseAnswers(1);
        CPPUNIT_ASSERT(store_.submit(spec("a", "key"), catania, 1000, noDeadline).error().kind_ == ErrorKind::OutcomeUnknown);
        const Submission again = *store_.submit(spec("b", "key"), palermo, 1000, noDeadline);
        CPPUNIT_ASSERT(!again.isNew_ && again.job_ == JobId("a") && again.dataCentre_ == catania);
        JobSpec other = spec("c", "key");
        other.tasks_ = 3;
        CPPUNIT_ASSERT(store_.submit(other, catania, 1000, noDeadline).error().kind_ == ErrorKind::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, store_.loadLive(catania, noDeadline)->size());
        CPPUNIT_ASSERT(store_.loadLive(palermo, noDeadline)->empty());
    }

    /** A call that is repeated after a lost response must apply its change only once. */
    void repeatsAfterLostAnswersRecordOnce()
    {
        const LeaseFence fence = beginEpoch(catania, 1);
        StoredJob job = submitted("a");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, store_.readInbox(catania, noDeadline)->submitted_.size());
        for (const JobState state : { JobState::Queued, JobState::Placed, JobState::Running, JobState::Finished }) {
            JobChange change = toState(job, state);
            change.checkpointedShare_ = 1.0 / 3;
            table_.loseAnswers(1);
            CPPUNIT_ASSERT(store_.record({ change }, fence, 2000, noDeadline).error().kind_ == ErrorKind::OutcomeUnknown);
            job = recorded(change, fence);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 4 }, job.record_.changeCount_);
        CPPUNIT_ASSERT(**store_.find(JobId("a"), { catania }, noDeadline) == job);
        CPPUNIT_ASSERT(store_.loadLive(catania, noDeadline)->empty());
        CPPUNIT_ASSERT(store_.readInbox(catania, noDeadline)->isEmpty());
        CPPUNIT_ASSERT(store_.record({ toState(job, JobState::Queued) }, fence, 2000, noDeadline).error().kind_ == ErrorKind::Internal);
    }

    void fencesAStaleHolder()
    {
        const LeaseFence old = beginEpoch(catania, 1);
        const StoredJob job = submitted("a");
        const LeaseFence next = beginEpoch(catania, 2);
        CPPUNIT_ASSERT(std::holds_alternative<FencedOff>(*store_.record({ toState(job, JobState::Queued) }, old, 2000, noDeadline)));
        recorded(toState(job, JobState::Queued), next);
        CPPUNIT_ASSERT(std::holds_alternative<JobVersionMismatch>(*store_.record({ toState(job, JobState::Placed) }, next, 2000, noDeadline)));
    }

    void movesAtomically()
    {
        const LeaseFence fence = beginEpoch(catania, 1);
        const StoredJob queued = recorded(toState(submitted("a"), JobState::Queued), fence);
        table_.loseAnswers(1);
        CPPUNIT_ASSERT(!store_.move(queued, palermo, fence, noDeadline));
        CPPUNIT_ASSERT(std::holds_alternative<Recorded>(*store_.move(queued, palermo, fence, noDeadline)));
        CPPUNIT_ASSERT(store_.loadLive(catania, noDeadline)->empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, store_.loadLive(palermo, noDeadline)->size());
        CPPUNIT_ASSERT(std::holds_alternative<JobVersionMismatch>(*store_.record({ toState(queued, JobState::Placed) }, fence, 2000, noDeadline)));
    }

    void escapesNamesInKeys()
    {
        CPPUNIT_ASSERT(rowkeys::jobKey(OrganisationId("a/b"), "c") != rowkeys::jobKey(OrganisationId("a"), "b/c"));
        CHECK_PROPERTY("unescaped reverses escaped", [](const std::string& name) {
            RC_ASSERT(rowkeys::unescaped(rowkeys::escaped(name)) == name);
        });
    }

    void recordsRoundTripThroughTheirFormat()
    {
        CHECK_PROPERTY("parsing a written record gives the same record", [](unsigned tasks, unsigned share, bool isPlaced, std::uint32_t change) {
            JobRecord record;
            record.spec_ = spec("job with \"quotes\"\n", "key");
            record.spec_.tasks_ = 1 + static_cast<int>(tasks % 128);
            record.dataCentre_ = catania;
            record.checkpointedShare_ = share % 1001 / 1000.0;
            record.changeCount_ = change;
            if (isPlaced)
                record.placement_.assign(static_cast<std::size_t>(record.spec_.tasks_), WorkerId("12"));
            RC_ASSERT(*parseJobRecordText(writeJobRecordText(record), "row") == record);
        });
        JobRecord record;
        record.spec_ = spec("a");
        JsonValue newer = writeJobRecord(record);
        newer.getMember("format") <<= jobRecordFormat + 1;
        CPPUNIT_ASSERT(parseJobRecordText(writeJson(newer), "row").error().kind_ == ErrorKind::Unsupported);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobStoreTest);
