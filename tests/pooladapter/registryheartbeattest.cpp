#include "registryrows.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;

namespace {

std::string entry(const std::string& state, const std::string& born, const std::string& sequence, const std::string& remaining = "0", const std::string& machine = "m1")
{
    return R"({"address":"10.0.0.1:80","born":)" + born + R"(,"capacity":{"cpu":64000,"gpu":8,"memMb":256000},"coldRemainingMs":0,"labels":["kind","r1"],"machine":")" + machine
        + R"(","remainingMs":)" + remaining + R"(,"seq":)" + sequence + R"(,"service":"s","state":")" + state + R"(","zone":"catania"})";
}

bool isHeartbeat(const std::string& former, const std::string& current)
{
    return RegistryRows().isHeartbeat(former, current);
}

}

/** Entries of which only the heartbeat has changed. */
class RegistryHeartbeatTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RegistryHeartbeatTest);
    CPPUNIT_TEST(recognisesHeartbeats);
    CPPUNIT_TEST(otherChangesAreNoHeartbeats);
    CPPUNIT_TEST(heartbeatsDecodeToTheSameWorker);
    CPPUNIT_TEST_SUITE_END();

    /** Guards against the cost of decoding every heartbeat. */
    void recognisesHeartbeats()
    {
        const std::string former = entry("ready", "17", "9", "900");
        for (const char* const sequence : { "9", "8", "10", "99", "19", "123456", "0" }) {
            CPPUNIT_ASSERT(isHeartbeat(former, entry("ready", "17", sequence, "900")));
            CPPUNIT_ASSERT(isHeartbeat(entry("ready", "17", sequence, "90"), entry("ready", "17", "77", "1")));
        }
        CPPUNIT_ASSERT(isHeartbeat(R"({"seq": 1, "x": 2})", R"({"seq": 22, "x": 2})"));
    }

    /** Guards against changes that are taken for a heartbeat, such as the one that revokes the permission to start. */
    void otherChangesAreNoHeartbeats()
    {
        const std::string former = entry("ready", "17", "9", "900");
        for (const std::string& other : { entry("draining", "17", "10"), entry("ready", "18", "10"), entry("ready", "171", "10"), entry("ready", "17", "10", "0", "m2"),
                 entry("ready", "17", "-1"), entry("ready", "17", "1.5"), entry("ready", "17", "1e3"), entry("ready", "17", "\"1\""), entry("ready", "17", "09"), entry("ready", "17", ""),
                 entry("ready", "17", "9", "900000000000000000"), std::string(), std::string("{}"), former.substr(0, former.size() - 1), former + " ", former.substr(0, former.find("\"seq\":") + 7) })
            CPPUNIT_ASSERT_MESSAGE(other, !isHeartbeat(former, other) && !isHeartbeat(other, former));
        // A text that only looks like the member.
        CPPUNIT_ASSERT(!isHeartbeat(entry("ready", "17", "9", "0", R"(a\"seq\":1,)"), entry("ready", "17", "9", "0", R"(a\"seq\":2,)")));
    }

    /** Guards against a worker that is used although its newest entry doesn't allow it: whatever one character becomes, the worker is the same. */
    void heartbeatsDecodeToTheSameWorker()
    {
        const std::string former = entry("draining", "17", "95", "900");
        const auto worker = RegistryRows().decode({ "w1", former, 1, false });
        CPPUNIT_ASSERT(worker.has_value());
        int heartbeats = 0;
        for (std::size_t i = 0; i < former.size(); ++i) {
            for (const std::string replacement : { "", "0", "7", "77", "-", ".", "e", "\"", "\\", ",", "}", " ", "x" }) {
                const std::string current = former.substr(0, i) + replacement + former.substr(i + 1);
                if (!isHeartbeat(former, current))
                    continue;
                ++heartbeats;
                const auto decoded = RegistryRows().decode({ "w1", current, 1, false });
                CPPUNIT_ASSERT_MESSAGE(current, decoded && *decoded == *worker);
            }
        }
        CPPUNIT_ASSERT(heartbeats > 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistryHeartbeatTest);
