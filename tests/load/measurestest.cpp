#include "load/measures.h"
#include "load/logentry.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

using namespace fescuecleat;

/** Checks measures of small logs against values calculated by hand. */
class MeasuresTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MeasuresTest);
    CPPUNIT_TEST(measuresFragmentationAndWork);
    CPPUNIT_TEST(measuresFromIntendedTime);
    CPPUNIT_TEST(parsesStandInLogs);
    CPPUNIT_TEST_SUITE_END();

    RepeatRecord record_;
    Testbed testbed_;

    static Time at(double seconds) { return Time(Duration(static_cast<std::int64_t>(seconds * 1e6))); }

    void worker(double seconds, const std::string& event, const std::string& name, int index, int accelerators)
    {
        record_.evidence_.log_.push_back({ LogSource::Worker, "catania", name, event, at(seconds), { { "job", "j" }, { "attempt", "1" }, { "index", std::to_string(index) }, { "accelerators", std::to_string(accelerators) } } });
    }

    void measuresFragmentationAndWork()
    {
        // Two workers with 8 accelerators: one is used fully, the other has 2 in use from 2 s to 3.5 s.
        worker(0, "prepared", "w0", 0, 8);
        worker(0, "started", "w0", 0, 8);
        worker(2, "prepared", "w1", 1, 2);
        worker(2, "started", "w1", 1, 2);
        worker(3.5, "stopped", "w1", 1, 2);
        worker(3.5, "finished", "w0", 0, 8);
        const RepeatMeasures measures = measure(testbed_, record_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(28, measures.values_.at("work_finished_accelerator_seconds"), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, measures.values_.at("work_lost_accelerator_seconds"), 1e-9);
        const Series& fragmentation = measures.series_.at("fragmentation (share of accelerators)");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, fragmentation.size());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, fragmentation[0].second, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(6.0 / 16, fragmentation[2].second, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, fragmentation[3].second, 1e-9);
    }

    void measuresFromIntendedTime()
    {
        SentRequest late;
        late.outcome_ = SentOutcome::Answered;
        late.intendedAt_ = at(1);
        late.sentAt_ = at(1.5);
        late.endedAt_ = at(2);
        record_.evidence_.requests_ = { late };
        const RepeatMeasures measures = measure(testbed_, record_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, measures.values_.at("request_completion_p50_seconds"), 0.03);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, measures.values_.at("tool_lateness_p99_seconds"), 0.02);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, measures.values_.at("requests_answered_share"), 1e-9);
    }

    void parsesStandInLogs()
    {
        const auto page = parseLogPage(R"({"dropped": 2, "next": 9, "entries": [{"sequence": 8, "at_us": 5000000, "instance": "w0", "event": "started", "job": "j", "attempt": "3"}]})", LogSource::Worker, "catania");
        CPPUNIT_ASSERT(page);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 9 }, page->next_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, page->dropped_);
        CPPUNIT_ASSERT(page->entries_.at(0).at_ == at(5));
        CPPUNIT_ASSERT_EQUAL(3, page->entries_[0].number("attempt"));
        CPPUNIT_ASSERT(!parseLogPage("{}", LogSource::Worker, "catania"));
    }

public:
    void setUp() override
    {
        record_ = RepeatRecord();
        record_.end_ = at(4);
        testbed_ = Testbed();
        testbed_.dataCentres_.push_back({ "catania", {}, {}, {}, 2, 8 });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MeasuresTest);
