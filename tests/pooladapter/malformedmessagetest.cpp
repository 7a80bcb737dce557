#include "callermessages.h"
#include "operatorrows.h"
#include "registryrows.h"
#include "rowcodec.h"
#include "workercodec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

using namespace fescuecleat;
using Json = nlohmann::json;

namespace {

constexpr int mutationsPerMessage = 4000;

/** Replaces, removes or adds one value somewhere in the message. */
void mutate(Json& json, std::mt19937& random)
{
    static const std::vector<Json> values { nullptr, true, -1, 5, 1.5e300, 18446744073709551615ULL, "", "x", "1.2.3.4:5", std::string("\xff\xfe"), Json::array(), Json::array({ 1, "a" }), Json::object(), Json { { "a", 1 } } };
    if (json.is_structured() && !json.empty() && random() % 4 != 0) {
        auto child = json.begin();
        std::advance(child, static_cast<std::ptrdiff_t>(random() % json.size()));
        if (random() % 6 == 0)
            json.erase(child);
        else
            mutate(*child, random);
        return;
    }
    json = values[random() % values.size()];
}

/** Mutates the bytes of a text. */
void mutate(std::string& text, std::mt19937& random)
{
    for (std::size_t i = 0; i <= random() % 3 && !text.empty(); ++i) {
        const std::size_t position = random() % text.size();
        if (random() % 3 == 0)
            text.resize(position);
        else
            text[position] = static_cast<char>(random());
    }
}

void decodeMutations(const std::string& message, const std::function<void(const std::string&)>& decode)
{
    std::mt19937 random(20261204);
    decode(message);
    for (int i = 0; i < mutationsPerMessage; ++i) {
        Json json = Json::parse(message);
        for (std::size_t n = 0; n <= random() % 3; ++n)
            mutate(json, random);
        decode(json.dump(-1, ' ', false, Json::error_handler_t::replace));
        std::string text = message;
        mutate(text, random);
        decode(text);
    }
}

const char* const refusal = R"({"clockMs":482113,"reason":"fence"})";

}

/** No malformed message of the platform, its workers or callers may end the process: no exception leaves a decoder. */
class MalformedMessageTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MalformedMessageTest);
    CPPUNIT_TEST(refusalWithReasonOfOtherType);
    CPPUNIT_TEST(workerReport);
    CPPUNIT_TEST(workerRefusal);
    CPPUNIT_TEST(storePage);
    CPPUNIT_TEST(registryEntry);
    CPPUNIT_TEST(operatorRow);
    CPPUNIT_TEST(submittedJob);
    CPPUNIT_TEST_SUITE_END();

    void refusalWithReasonOfOtherType()
    {
        const auto answer = decodeStartAnswer({ 409, R"({"clockMs":482113,"reason":5})" });
        CPPUNIT_ASSERT(answer && *answer == StartAnswer::Refused);
    }

    void workerReport()
    {
        decodeMutations(R"({"clockMs":482113,"born":1786030948094,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,3]],"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})",
            [](const std::string& body) { static_cast<void>(decodePollAnswer({ 200, body })); });
    }

    void workerRefusal()
    {
        for (const int status : { 400, 409, 421, 500 }) {
            decodeMutations(refusal, [status](const std::string& body) {
                static_cast<void>(decodePollAnswer({ status, body }));
                static_cast<void>(decodeStartAnswer({ status, body }));
                static_cast<void>(decodeStopAnswer({ status, body }));
            });
        }
    }

    void storePage()
    {
        decodeMutations(R"({"ver":7,"nowMs":3521,"hasMore":false,"rows":[{"table":"op","part":"","key":"config","value":"e30=","ver":5},{"key":"a","deleted":true}]})",
            [](const std::string& body) { static_cast<void>(decodePage(body)); });
    }

    void registryEntry()
    {
        const RegistryRows format;
        decodeMutations(R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"draining","born":17,"machine":"m","labels":["a","r1-3"],"capacity":{"cpu":64000,"memMb":131072,"gpu":8},"remainingMs":900})",
            [&format](const std::string& body) { static_cast<void>(format.decode({ "i-1", body, 1, false })); });
    }

    void operatorRow()
    {
        const OperatorRows format;
        const char* const configuration = R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","service":"s","priority":0,"attempts":2,"stretch":1.5,"latencySloMs":250,"timeoutMs":3000,"public":false,"advice":{"decideMs":5}}],"services":[],"tenants":[{"name":"t","apiKeys":["k"],"guaranteed":{"gpu":208}}],"limits":{"maxBodyBytes":65536}})";
        for (const char* key : { "config", "evacuate/z", "wave/3" })
            decodeMutations(configuration, [&](const std::string& body) { static_cast<void>(format.decode({ key, body, 1, false })); });
    }

    void submittedJob()
    {
        const CallerMessages format;
        decodeMutations(R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,"affinity":"r1-3"},{"count":20,"cpu":2000,"after":[0],"savesProgress":true}],"repeats":2,"firstMs":100,"periodMs":1000})",
            [&format](const std::string& body) { static_cast<void>(format.decodeJob(body)); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedMessageTest);
