#include "operatorrows.h"
#include "registryrows.h"
#include "workercodec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace fescuecleat;
using Json = nlohmann::json;

namespace {

Json workerEntry()
{
    return { { "service", "s" }, { "address", "10.0.0.1:80" }, { "zone", "catania" }, { "state", "ready" }, { "born", 1796400000000 }, { "machine", "m1" }, { "labels", { "kind", "r1" } }, { "capacity", { { "cpu", 64000 }, { "memMb", 256000 }, { "gpu", 8 } } } };
}

bool isUsed(const Json& entry)
{
    return RegistryRows().decode({ "w1", entry.dump(-1, ' ', false, Json::error_handler_t::replace), 1, false }).has_value();
}

HttpAnswer pollAnswer(const Json& json)
{
    HttpAnswer answer;
    answer.status_ = 200;
    answer.body_ = json.dump();
    return answer;
}

}

/** Numbers and texts of other writers that no field can hold. */
class OddEntriesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OddEntriesTest);
    CPPUNIT_TEST(oddNumbersNameNoWorker);
    CPPUNIT_TEST(oddTextsNameNoWorker);
    CPPUNIT_TEST(deepNestingNamesNoWorker);
    CPPUNIT_TEST(oddPollAnswersAreUnreadable);
    CPPUNIT_TEST(limitsOfOrganisations);
    CPPUNIT_TEST(oddConfigurationIsUnreadable);
    CPPUNIT_TEST_SUITE_END();

    /** Guards against conversions that are undefined or wrap around: such entries were taken as workers to use. */
    void oddNumbersNameNoWorker()
    {
        CPPUNIT_ASSERT(isUsed(workerEntry()));
        const std::vector<Json> odd { 1e300, -1e300, 1e19, 9223372036854775807, 18446744073709551615ULL, -5, 8.7, "8", nullptr, true, Json::array() };
        for (const Json& value : odd) {
            for (const char* const name : { "cpu", "memMb", "gpu" }) {
                Json entry = workerEntry();
                entry["capacity"][name] = value;
                CPPUNIT_ASSERT_MESSAGE(entry.dump(), !isUsed(entry));
            }
            for (const char* const name : { "born", "remainingMs" }) {
                Json entry = workerEntry();
                entry[name] = value;
                CPPUNIT_ASSERT_MESSAGE(entry.dump(), !isUsed(entry));
            }
        }
        Json whole = workerEntry();
        whole["capacity"]["gpu"] = 8.0;
        CPPUNIT_ASSERT(isUsed(whole));
        Json empty = workerEntry();
        empty["capacity"]["gpu"] = 0;
        CPPUNIT_ASSERT(isUsed(empty));
    }

    void oddTextsNameNoWorker()
    {
        for (const char* const name : { "zone", "service", "machine" }) {
            for (const std::string& value : { std::string(1, '\0'), std::string("a\nb"), std::string(5000, 'x') }) {
                Json entry = workerEntry();
                entry[name] = value;
                CPPUNIT_ASSERT_MESSAGE(entry.dump(), !isUsed(entry));
            }
        }
        for (const char* const address : { "10.0.0.1:70000", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1", "", "host:80", "10.0.0.1:80x" }) {
            Json entry = workerEntry();
            entry["address"] = address;
            CPPUNIT_ASSERT_MESSAGE(entry.dump(), !isUsed(entry));
        }
    }

    void deepNestingNamesNoWorker()
    {
        for (const std::size_t depth : { 100, 24000, 49000 }) {
            const std::string nested = std::string(depth, '[') + std::string(depth, ']');
            CPPUNIT_ASSERT(!RegistryRows().decode({ "w1", nested, 1, false }).has_value());
            std::string text = workerEntry().dump();
            text.insert(text.size() - 1, ",\"extra\":" + nested);
            CPPUNIT_ASSERT(RegistryRows().decode({ "w1", text, 1, false }).has_value()); // unknown fields are ignored
        }
    }

    void oddPollAnswersAreUnreadable()
    {
        const Json usual { { "clockMs", 5 }, { "born", 1796400000000 }, { "running", { { "00000000000000aa.0.0.1", 2, "", 41 } } }, { "ended", { { 58, "00000000000000aa.0.0.2", 1, "done", "" } } } };
        CPPUNIT_ASSERT(decodePollAnswer(pollAnswer(usual)).has_value());
        for (const Json& value : std::vector<Json> { 1e300, 1e19, 18446744073709551615ULL, -5, 8.7, "8", nullptr }) {
            for (const char* const name : { "clockMs", "born" }) {
                Json answer = usual;
                answer[name] = value;
                CPPUNIT_ASSERT_MESSAGE(answer.dump(), !decodePollAnswer(pollAnswer(answer)).has_value());
            }
            Json answer = usual;
            answer["running"][0][1] = value;
            CPPUNIT_ASSERT_MESSAGE(answer.dump(), !decodePollAnswer(pollAnswer(answer)).has_value());
            answer = usual;
            answer["ended"][0][0] = value;
            CPPUNIT_ASSERT_MESSAGE(answer.dump(), !decodePollAnswer(pollAnswer(answer)).has_value());
        }
        Json answer = usual;
        answer["running"][0][3] = 1e300;
        const auto report = decodePollAnswer(pollAnswer(answer));
        CPPUNIT_ASSERT(report.has_value() && report->running_.at(0).percentDone_ == 100);
    }

    /** Guards against a limit that is read as another resource's, and against a missing one that blocks all work. */
    void limitsOfOrganisations()
    {
        const Json row { { "version", 5 }, { "routes", Json::array() }, { "tenants", { { { "name", "t" }, { "weight", 1.5 }, { "maxCount", { { "cpu", 64000 }, { "memMb", 131072 }, { "gpu", 8 } } } }, { { "name", "u" }, { "maxCount", { { "gpu", 0 } } } }, { { "name", "v" }, { "maxCount", nullptr } } } } };
        const OperatorChange change = OperatorRows().decode({ OperatorRows::configurationKey, row.dump(), 1, false });
        const auto policies = std::get<PoolConfiguration>(change).organisationPolicies();
        CPPUNIT_ASSERT(policies.at("t").limit_ == (Resources { 64000, 131072, 8 }));
        CPPUNIT_ASSERT_EQUAL(1.5, policies.at("t").weight_);
        CPPUNIT_ASSERT(policies.at("u").limit_ == Resources {} && policies.at("v").limit_ == Resources {});
        CPPUNIT_ASSERT_EQUAL(0.0, policies.at("u").weight_);
    }

    void oddConfigurationIsUnreadable()
    {
        const auto isRead = [](const Json& json) { return std::holds_alternative<PoolConfiguration>(OperatorRows().decode({ OperatorRows::configurationKey, json.dump(), 1, false })); };
        const Json usual { { "version", 5 }, { "routes", { { { "name", "q" }, { "prefix", "/q/" }, { "service", "s" }, { "attempts", 3 }, { "latencySloMs", 1000 } } } }, { "tenants", { { { "name", "t" }, { "guaranteed", { { "gpu", 8 } } }, { "weight", 1.5 }, { "maxCount", { { "cpu", 64000 }, { "memMb", 0 }, { "gpu", 8 } } } } } } };
        CPPUNIT_ASSERT(isRead(usual));
        for (const Json& value : std::vector<Json> { 1e300, 1e19, 18446744073709551615ULL, -5, 8.7, "8" }) {
            Json json = usual;
            json["version"] = value;
            CPPUNIT_ASSERT_MESSAGE(json.dump(), !isRead(json));
            json = usual;
            json["tenants"][0]["guaranteed"]["gpu"] = value;
            CPPUNIT_ASSERT_MESSAGE(json.dump(), !isRead(json));
            for (const char* const name : { "cpu", "memMb", "gpu" }) {
                json = usual;
                json["tenants"][0]["maxCount"][name] = value;
                CPPUNIT_ASSERT_MESSAGE(json.dump(), !isRead(json));
            }
            json = usual;
            json["tenants"][0]["maxCount"] = value;
            CPPUNIT_ASSERT_MESSAGE(json.dump(), !isRead(json));
            json = usual;
            json["tenants"][0]["weight"] = value;
            CPPUNIT_ASSERT_MESSAGE(json.dump(), isRead(json) == (value == Json(8.7)));
            for (const char* const name : { "attempts", "priority", "latencySloMs" }) {
                json = usual;
                json["routes"][0][name] = value;
                CPPUNIT_ASSERT_MESSAGE(json.dump(), !isRead(json));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddEntriesTest);
