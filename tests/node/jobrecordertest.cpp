#include "node/jobrecorder.h"
#include "node/poolfixture.h"
#include "node/storelayout.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t rowBytes = 4096;

/** A recorder whose jobs' rows are set by the test. */
class RecorderUnderTest {
public:
    RecorderUnderTest()
        : recorder_(pool_.loop_, pool_.store_, pool_.log_, limits(), 1, 0,
            { [this](const std::string& job) { return rows_[job]; },
                [this](const std::string&) { isSuperseded_ = true; },
                [this](const std::string& job) { unstorable_.push_back(job); } })
    {
        pool_.store_.setRowBytes(rowBytes);
    }

    static StoreLimits limits()
    {
        StoreLimits limits;
        limits.rowBytes_ = rowBytes;
        return limits;
    }

    void change(const std::string& job, JobRecorder::Rows rows)
    {
        rows_[job] = std::move(rows);
        recorder_.markChanged(job);
        recorder_.whenStored({ job }, [this, job] { stored_.push_back(job); });
    }

    bool isStored(const std::string& job) const { return std::find(stored_.begin(), stored_.end(), job) != stored_.end(); }

    PoolFixture pool_;
    std::map<std::string, JobRecorder::Rows> rows_;
    std::vector<std::string> stored_;
    std::vector<std::string> unstorable_;
    bool isSuperseded_ = false;
    JobRecorder recorder_;
};

std::string tooLarge()
{
    return std::string(rowBytes, 'x');
}

}

/** Tests that records are stored whatever becomes of other records. */
class JobRecorderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobRecorderTest);
    CPPUNIT_TEST(rejectedRecordDelaysNoOther);
    CPPUNIT_TEST(storesRejectedRecordOnceItFits);
    CPPUNIT_TEST(reportsUnstorableRecord);
    CPPUNIT_TEST(rejectedRowBesideRecordsDelaysNone);
    CPPUNIT_TEST(writesChangedRowsOnly);
    CPPUNIT_TEST(dividesLargeCommits);
    CPPUNIT_TEST(laterChangesDelayNoCallback);
    CPPUNIT_TEST_SUITE_END();

    /** Guards against one refused record that is repeated for ever, while all others wait for it. */
    void rejectedRecordDelaysNoOther()
    {
        RecorderUnderTest test;
        for (int i = 0; i < 40; ++i)
            test.change("job" + std::to_string(i), { { "job" + std::to_string(i), i == 17 ? tooLarge() : "value" } });
        test.recorder_.flush();
        CPPUNIT_ASSERT(test.pool_.runUntil([&] { return test.stored_.size() == 39; }, 1s));
        CPPUNIT_ASSERT(!test.isStored("job17"));
        test.change("later", { { "later", "value" } });
        test.recorder_.flush();
        CPPUNIT_ASSERT(test.pool_.runUntil([&] { return test.isStored("later"); }, 1s));
        CPPUNIT_ASSERT(!test.isSuperseded_);
    }

    void storesRejectedRecordOnceItFits()
    {
        RecorderUnderTest test;
        test.change("a", { { "a", tooLarge() } });
        test.recorder_.flush();
        test.pool_.runFor(100ms);
        CPPUNIT_ASSERT(test.stored_.empty());
        test.change("a", { { "a", "small" } });
        test.recorder_.flush();
        CPPUNIT_ASSERT(test.pool_.runUntil([&] { return test.stored_.size() == 2; }));
        CPPUNIT_ASSERT_EQUAL(std::string("small"), test.pool_.store_.value(JobRecorder::table, "a").value_or(""));
        test.change("a", { { "a", "again" } });
        test.recorder_.flush();
        CPPUNIT_ASSERT(test.pool_.runUntil([&] { return test.stored_.size() == 3; }, 100ms));
    }

    void reportsUnstorableRecord()
    {
        RecorderUnderTest test;
        test.change("a", { { "a", tooLarge() } });
        test.recorder_.flush();
        CPPUNIT_ASSERT(test.pool_.runUntil([&] { return !test.unstorable_.empty(); }, 20s));
        const int commits = test.pool_.store_.commitsSeen();
        test.pool_.runFor(1s);
        CPPUNIT_ASSERT(test.pool_.store_.commitsSeen() <= commits + 1);
    }

    void rejectedRowBesideRecordsDelaysNone()
    {
        RecorderUnderTest test;
        test.change("a", { { "a", "value" } });
        test.recorder_.addToNextCommit({ "summary", "bad", tooLarge() });
        test.recorder_.addToNextCommit({ "summary", "good", "value" });
        test.recorder_.flush();
        CPPUNIT_ASSERT(test.pool_.runUntil([&] { return test.isStored("a") && test.pool_.store_.value("summary", "good").has_value(); }, 1s));
    }

    void writesChangedRowsOnly()
    {
        RecorderUnderTest test;
        std::vector<std::string> written;
        test.pool_.store_.setWriteObserver([&written](const std::string& table, const StoredRow& row) {
            if (table == JobRecorder::table)
                written.push_back(row.key_);
        });
        test.change("a", { { "a", "1" }, { "a.1", "2" }, { "a.2", "3" } });
        test.recorder_.flush();
        CPPUNIT_ASSERT(test.pool_.runUntil([&] { return test.stored_.size() == 1; }));
        written.clear();
        test.change("a", { { "a", "1" }, { "a.2", "4" } });
        test.recorder_.flush();
        CPPUNIT_ASSERT(test.pool_.runUntil([&] { return test.stored_.size() == 2; }));
        CPPUNIT_ASSERT(written == std::vector<std::string>({ "a.2" }));
        CPPUNIT_ASSERT(!test.pool_.store_.value(JobRecorder::table, "a.1").has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), test.pool_.store_.value(JobRecorder::table, "a").value_or(""));
    }

    /** A record with more rows than a transaction may have takes several commits. */
    void dividesLargeCommits()
    {
        RecorderUnderTest test;
        JobRecorder::Rows rows;
        for (int i = 0; i < 250; ++i)
            rows["a." + std::to_string(i)] = std::string(2000, 'x');
        test.change("a", rows);
        test.recorder_.flush();
        CPPUNIT_ASSERT(test.pool_.runUntil([&] { return test.isStored("a"); }));
        for (const auto& [key, value] : rows)
            CPPUNIT_ASSERT_EQUAL(value, test.pool_.store_.value(JobRecorder::table, key).value_or(""));
        CPPUNIT_ASSERT_EQUAL(3, test.pool_.store_.commitsSeen());
    }

    /** Guards against callbacks that wait until nothing changes any more. */
    void laterChangesDelayNoCallback()
    {
        constexpr int busyJobs = 2000;
        RecorderUnderTest test;
        for (int i = 0; i < busyJobs; ++i)
            test.rows_["busy" + std::to_string(i)] = { { "busy" + std::to_string(i), "value" } };
        int next = 0;
        // Each commit leaves another change behind.
        test.pool_.store_.setWriteObserver([&](const std::string& table, const StoredRow&) {
            if (table == JobRecorder::table && next < busyJobs)
                test.recorder_.markChanged("busy" + std::to_string(next++));
        });
        test.change("a", { { "a", "value" } });
        test.recorder_.flush();
        CPPUNIT_ASSERT(test.pool_.runUntil([&] { return test.isStored("a"); }, 1s));
        CPPUNIT_ASSERT(next < busyJobs);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobRecorderTest);
