#include "node/activitytimes.h"
#include "node/poolfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

/** What the metrics say of the event loop of a lease holder. */
class ActivityTimesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ActivityTimesTest);
    CPPUNIT_TEST(bucketsAreCumulative);
    CPPUNIT_TEST(holderMeasuresItsActivities);
    CPPUNIT_TEST_SUITE_END();

    void bucketsAreCumulative()
    {
        JsonEventLog log("a");
        ActivityTimes times(log);
        times.record(Activity::Pass, 500us, {});
        times.record(Activity::Pass, 30ms, {});
        times.record(Activity::Record, 250ms, "job");
        times.record(Activity::Record, 10s, "job");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), times.slowCount());
        const std::string text = times.metrics();
        for (const char* line : {
                 R"(fescuecleat_activity_seconds_bucket{activity="pass",le="0.001"} 1)",
                 R"(fescuecleat_activity_seconds_bucket{activity="pass",le="0.02"} 1)",
                 R"(fescuecleat_activity_seconds_bucket{activity="pass",le="0.05"} 2)",
                 R"(fescuecleat_activity_seconds_count{activity="pass"} 2)",
                 R"(fescuecleat_activity_seconds_sum{activity="pass"} 0.030500)",
                 R"(fescuecleat_activity_seconds_bucket{activity="record",le="0.2"} 0)",
                 R"(fescuecleat_activity_seconds_bucket{activity="record",le="3"} 1)",
                 R"(fescuecleat_activity_seconds_bucket{activity="record",le="+Inf"} 2)",
                 R"(fescuecleat_activity_seconds_count{activity="report"} 0)",
             })
            CPPUNIT_ASSERT_MESSAGE(line, text.find(std::string(line) + "\n") != std::string::npos);
    }

    void holderMeasuresItsActivities()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        pool.submit("00000000000000aa", oneTask());
        const auto scheduler = pool.scheduler("a");
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.startCount({ "00000000000000aa", 0, 0, 0 }) == 1; }));
        const std::string text = scheduler->controller()->times().metrics();
        for (const char* activity : { "pass", "report", "record", "loading", "job" })
            CPPUNIT_ASSERT_MESSAGE(activity, text.find(std::string("fescuecleat_activity_seconds_count{activity=\"") + activity + "\"} 0\n") == std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ActivityTimesTest);
