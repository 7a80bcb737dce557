#include "node/instancesettings.h"
#include "node/preemptionlog.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

Result<InstanceSettings> parse(const std::string& members)
{
    return parseInstanceSettings(R"({ "instance": "i", "dataCentre": "d", "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "peers": "127.0.0.1:3", "store": "127.0.0.1:4",
        "maxWorkerLeaseSeconds": 6, "revocationLimitSeconds": 5, )"
        + members + R"( "stopLimitSeconds": 1 })");
}

}

/** How the cost of stopping a task is read and reported. */
class StopCostSettingsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StopCostSettingsTest);
    CPPUNIT_TEST(settingsAreOptional);
    CPPUNIT_TEST(unitCountsOnceForEachCause);
    CPPUNIT_TEST_SUITE_END();

    /** Guards against a daemon that doesn't start, or decides differently, on a platform that declares no cost. */
    void settingsAreOptional()
    {
        CPPUNIT_ASSERT(!parse("").value().stopCosts_);
        CPPUNIT_ASSERT(!parse(R"("taskStopSeconds": 900e-3, )").value().stopCosts_);
        const auto costs = parse(R"("taskStopSeconds": 900e-3, "restoreSeconds": 600e-3, "checkpointSeconds": 2, "gangWaitSeconds": 3, )").value().stopCosts_;
        CPPUNIT_ASSERT(costs && costs->stop_ == 900ms && costs->restore_ == 600ms && costs->checkpointInterval_ == 2s && costs->gangWait_ == 3s);
        CPPUNIT_ASSERT(!parse(R"("taskStopSeconds": -1, "restoreSeconds": 1, )"));
    }

    /** A unit is declined in each of many passes. Guards against counts, and log lines, by pass. */
    void unitCountsOnceForEachCause()
    {
        PreemptionAccount account;
        for (int pass = 0; pass < 10; ++pass) {
            account.declined("job", {}, pass < 5 ? DeclineCause::RoomFreesInTime : DeclineCause::LateAnyway);
            account.endPass(pass % 2 == 0);
        }
        const std::string text = preemptionMetrics(account);
        CPPUNIT_ASSERT(text.find("{cause=\"room_frees_in_time\"} 1\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("{cause=\"late_anyway\"} 1\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("{cause=\"loses_too_much\"} 0\n") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopCostSettingsTest);
