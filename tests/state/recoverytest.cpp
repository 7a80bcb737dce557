#include "state/recovery.h"

#include "state/retention.h"
#include "state/rowkeys.h"
#include "state/snapshotstore.h"
#include "support/fakeobjectstore.h"
#include "support/faketable.h"
#include "support/property.h"

#include <algorithm>

using namespace fescuecleat;

namespace {

const DataCentreId catania("catania");
const Time noDeadline = Time::max();
constexpr std::int64_t dayMs = 24LL * 3600 * 1000;

JobRecord runningJob(const std::string& id, int attempt)
{
    JobRecord record;
    record.spec_.id_ = JobId(id);
    record.spec_.organisation_ = OrganisationId("studio");
    record.spec_.idempotencyKey_ = "key-" + id;
    record.state_ = JobState::Running;
    record.dataCentre_ = catania;
    record.attempt_ = attempt;
    record.placement_ = { WorkerId("w1") };
    return record;
}

ReportedTask runningTask(const std::string& id, int attempt, const std::string& worker = "w1")
{
    return { { JobId(id), attempt, 0 }, WorkerId(worker), TaskState::Running };
}

Snapshot snapshotOf(std::uint64_t epoch, std::uint64_t revision, std::vector<JobRecord> jobs)
{
    Snapshot snapshot;
    snapshot.dataCentre_ = catania;
    snapshot.epoch_ = epoch;
    snapshot.revision_ = revision;
    snapshot.configuration_ = { { 7, "anna", 1000 }, "because", "{}", {} };
    snapshot.jobs_ = std::move(jobs);
    return snapshot;
}

}

/** Recovery of scheduler state after a restart, and retention of ended jobs. */
class RecoveryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RecoveryTest);
    CPPUNIT_TEST(rowsTakePrecedenceOverSnapshotAndReports);
    CPPUNIT_TEST(snapshotReplacesAnUnreadableTable);
    CPPUNIT_TEST(classifiesEveryReport);
    CPPUNIT_TEST(readsTheNewestReadableSnapshot);
    CPPUNIT_TEST(removesExpiredJobs);
    CPPUNIT_TEST_SUITE_END();

    void rowsTakePrecedenceOverSnapshotAndReports()
    {
        const std::vector<StoredJob> rows { { runningJob("a", 2), 5 } };
        const Snapshot old = snapshotOf(1, 3, { runningJob("a", 1), runningJob("ended", 1) });
        const RecoveredState state = recoverState(rows, old, { runningTask("a", 2), runningTask("a", 1), runningTask("ended", 1), runningTask("a", 2, "w9") });
        CPPUNIT_ASSERT(state.isComplete_ && state.jobs_ == rows && state.unknownTasks_.empty());
        CPPUNIT_ASSERT(state.tasks_ == std::vector<ReportedTask> { runningTask("a", 2) });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, state.orphanTasks_.size());
    }

    /** While the table is unreadable no task is stopped, since its job may still have a row. */
    void snapshotReplacesAnUnreadableTable()
    {
        const Snapshot snapshot = snapshotOf(1, 3, { runningJob("a", 1) });
        const RecoveredState state = recoverState(std::nullopt, snapshot, { runningTask("a", 1), runningTask("a", 2), runningTask("new", 1) });
        CPPUNIT_ASSERT(!state.isComplete_ && state.orphanTasks_.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, state.jobs_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, state.tasks_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, state.unknownTasks_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, recoverState(std::nullopt, std::nullopt, { runningTask("a", 1) }).unknownTasks_.size());
    }

    void classifiesEveryReport()
    {
        CHECK_PROPERTY("every running task is kept, stopped or left running", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& reported, const std::vector<std::uint8_t>& stored, bool hasRows) {
            std::vector<StoredJob> rows;
            rows.reserve(stored.size());
            for (std::size_t i = 0; i < stored.size(); ++i)
                rows.push_back({ runningJob(std::to_string(i), stored[i] % 3), 1 });
            std::vector<ReportedTask> reports;
            reports.reserve(reported.size());
            for (const auto& [job, attempt] : reported)
                reports.push_back(runningTask(std::to_string(job % 8), attempt % 3));
            const RecoveredState state = recoverState(hasRows ? std::optional(rows) : std::nullopt, std::nullopt, reports);
            RC_ASSERT(state.tasks_.size() + state.orphanTasks_.size() + state.unknownTasks_.size() == reports.size());
            for (const ReportedTask& task : state.tasks_) {
                RC_ASSERT(std::any_of(rows.begin(), rows.end(), [&](const StoredJob& job) {
                    return job.record_.spec_.id_ == task.task_.job_ && job.record_.attempt_ == task.task_.attempt_;
                }));
            }
        });
    }

    void readsTheNewestReadableSnapshot()
    {
        FakeObjectStore objects;
        SnapshotStore store(objects);
        CPPUNIT_ASSERT(!*store.loadNewest(catania, noDeadline));
        const Snapshot first = snapshotOf(9, 100, { runningJob("a", 1) });
        const Snapshot second = snapshotOf(10, 20, { runningJob("b", 1) });
        for (const Snapshot& snapshot : { snapshotOf(9, 99, {}), second, first })
            CPPUNIT_ASSERT(store.save(snapshot, noDeadline));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, objects.objects().size());
        CPPUNIT_ASSERT(**store.loadNewest(catania, noDeadline) == second);
        objects.objects()[snapshotName(second)].resize(40);
        CPPUNIT_ASSERT(**store.loadNewest(catania, noDeadline) == first);
        CPPUNIT_ASSERT(!*store.loadNewest(DataCentreId("cat"), noDeadline));
        objects.setDown(true);
        CPPUNIT_ASSERT(store.loadNewest(catania, noDeadline).error().kind_ == ErrorKind::Unavailable);
    }

    void removesExpiredJobs()
    {
        FakeTable table;
        WriteIds writeIds("test");
        JobStore store(table, writeIds);
        const std::uint64_t lease = std::get<Committed>(*table.commit({ "lease", {}, { { rowkeys::lease(catania), "{}" } } }, noDeadline)).revision_;
        const LeaseFence fence { catania, 1, lease };
        for (const char* id : { "live", "fetched", "waiting" }) {
            JobSpec spec = runningJob(id, 1).spec_;
            CPPUNIT_ASSERT(store.submit(spec, catania, 0, noDeadline));
        }
        for (const char* id : { "fetched", "waiting" }) {
            const StoredJob job = **store.find(JobId(id), { catania }, noDeadline);
            CPPUNIT_ASSERT(store.record({ { job, JobState::Failed, 0, {}, 0, 0, "no space", false } }, fence, 1, noDeadline));
        }
        CPPUNIT_ASSERT(store.markDelivered(**store.find(JobId("fetched"), { catania }, noDeadline), 2, noDeadline));

        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, removeExpired(table, writeIds, fence, {}, dayMs, noDeadline)->removed_);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, removeExpired(table, writeIds, fence, {}, dayMs + 2, noDeadline)->removed_);
        CPPUNIT_ASSERT(!*store.findByKey(OrganisationId("studio"), "key-fetched", noDeadline));
        CPPUNIT_ASSERT(*store.findByKey(OrganisationId("studio"), "key-waiting", noDeadline));
        const RetentionCounts counts = *removeExpired(table, writeIds, fence, {}, 40 * dayMs, noDeadline);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, counts.removedUndelivered_);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, store.loadLive(catania, noDeadline)->size());
        const auto fencedOff = [&] {
            CPPUNIT_ASSERT(store.record({ { **store.find(JobId("live"), { catania }, noDeadline), JobState::Failed, 0, {}, 0, 0, {}, false } }, fence, 1, noDeadline));
            return removeExpired(table, writeIds, { catania, 0, lease + 1 }, {}, 80 * dayMs, noDeadline).error().kind_;
        };
        CPPUNIT_ASSERT(fencedOff() == ErrorKind::Conflict);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecoveryTest);
