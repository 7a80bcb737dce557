#include "http/cxxtoolshttpclient.h"
#include "load/expectedanswer.h"
#include "support/ports.h"
#include "support/process.h"
#include "json/json.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <string>
#include <thread>

using namespace fescuecleat;
using namespace fescuecleat::test;

/** Tests the behaviour of the stand-ins with and without injected faults. */
class StandInTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StandInTest);
    CPPUNIT_TEST(tableCommitsAtomically);
    CPPUNIT_TEST(lostAnswerKeepsCommit);
    CPPUNIT_TEST(instanceListLags);
    CPPUNIT_TEST(workerChecksEpochAndPermit);
    CPPUNIT_TEST(workerRejectsStoppedTask);
    CPPUNIT_TEST(taskResumesFromCheckpoint);
    CPPUNIT_TEST(minionAnswersAndReportsNotStarted);
    CPPUNIT_TEST(faultsCorruptMinionResponses);
    CPPUNIT_TEST(silentFaultLeavesNewConnectionsWorking);
    CPPUNIT_TEST_SUITE_END();

    using Answer = tl::expected<HttpResponse, TransportError>;

    Address address_;
    Address faultPort_;
    std::unique_ptr<CxxtoolsHttpClient> client_;

    Process start(const std::string& program, const std::vector<std::string>& extraArguments)
    {
        address_ = freeAddress(3);
        faultPort_ = { address_.ip_, static_cast<unsigned short>(address_.port_ + 2) };
        std::vector<std::string> arguments { "--address=" + text(address_), "--fault-address=" + text(faultPort_) };
        arguments.insert(arguments.end(), extraArguments.begin(), extraArguments.end());
        Process process("fescuecleat-standin-" + program, arguments);
        CPPUNIT_ASSERT(waitUntilReady(faultPort_, "/log"));
        return process;
    }

    Answer send(const Address& to, const std::string& method, const std::string& path, const std::string& body = "", const HttpHeaders& headers = {}, Duration timeout = std::chrono::seconds(5), bool mayReuse = false)
    {
        HttpRequest request;
        request.method_ = method;
        const std::size_t queryStart = path.find('?');
        request.path_ = path.substr(0, queryStart);
        if (queryStart != std::string::npos) {
            const std::size_t equals = path.find('=');
            request.query_[path.substr(queryStart + 1, equals - queryStart - 1)] = path.substr(equals + 1);
        }
        request.headers_ = headers;
        request.body_ = body;
        return client_->send(to, request, monotonicNow() + timeout, mayReuse);
    }

    JsonValue post(const std::string& path, const std::string& body, int status = 200)
    {
        const Answer answer = send(address_, "POST", path, body);
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer->body_, status, answer->status_);
        return *parseJson(answer->body_);
    }

    JsonValue get(const std::string& path)
    {
        const Answer answer = send(address_, "GET", path);
        CPPUNIT_ASSERT(answer);
        return *parseJson(answer->body_);
    }

    void setFaults(const std::string& faults)
    {
        const Answer answer = send(faultPort_, "POST", "/faults", "{\"faults\": [" + faults + "]}");
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer->body_, 200, answer->status_);
    }

    template <typename Value>
    static Value member(const JsonValue& value, const std::string& name)
    {
        Value result {};
        value.getMember(name).getValue(result);
        return result;
    }

    static std::string commitBody(const std::string& id, int version, const std::string& value)
    {
        return "{\"write_id\": \"" + id + "\", \"conditions\": [{\"key\": \"a/b\", \"version\": " + std::to_string(version)
            + "}], \"writes\": [{\"key\": \"a/b\", \"value\": \"" + value + "\"}, {\"key\": \"a/c\", \"value\": \"" + value + "\"}]}";
    }

    void tableCommitsAtomically()
    {
        const Process process = start("platform", {});
        post("/v1/commit", commitBody("w1", 0, "one"));
        post("/v1/commit", commitBody("w2", 0, "two"), 409);
        CPPUNIT_ASSERT_EQUAL(1, member<int>(post("/v1/commit", commitBody("w1", 0, "three")), "revision"));
        const JsonValue row = get("/v1/row?key=a/c");
        CPPUNIT_ASSERT_EQUAL(std::string("one"), member<std::string>(row, "value"));
        CPPUNIT_ASSERT_EQUAL(1, member<int>(row, "version"));
    }

    void lostAnswerKeepsCommit()
    {
        const Process process = start("platform", {});
        setFaults("{\"kind\": \"lose_answer\", \"path\": \"/v1/commit\"}");
        const Answer lost = send(address_, "POST", "/v1/commit", commitBody("w1", 0, "one"));
        CPPUNIT_ASSERT(!lost);
        CPPUNIT_ASSERT(lost.error().failure_ == TransportFailure::NoAnswer);
        CPPUNIT_ASSERT(member<bool>(get("/v1/write?id=w1"), "committed"));
        setFaults("{\"kind\": \"fail\", \"path\": \"/v1/commit\"}");
        CPPUNIT_ASSERT_EQUAL(503, send(address_, "POST", "/v1/commit", commitBody("w2", 1, "two"))->status_);
        CPPUNIT_ASSERT(!member<bool>(get("/v1/write?id=w2"), "committed"));
        CPPUNIT_ASSERT_EQUAL(400, send(faultPort_, "POST", "/faults", "{\"faults\": [{\"kind\": \"none\"}]}")->status_);
    }

    void instanceListLags()
    {
        const Process process = start("platform", { "--instance-lag-ms=300" });
        CPPUNIT_ASSERT_EQUAL(200, send(faultPort_, "POST", "/instances", "{\"instances\": [{\"id\": \"m\", \"role\": \"minion\"}]}")->status_);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, get("/v1/instances").getMember("instances").memberCount());
        CPPUNIT_ASSERT(waitUntil([this] { return get("/v1/instances").getMember("instances").memberCount() == 1; }));
    }

    static std::string taskMember(int attempt)
    {
        return R"("task": {"job": "j", "attempt": )" + std::to_string(attempt) + R"(, "index": 0})";
    }

    std::int64_t renewPermit(int epoch, int permitMs)
    {
        const JsonValue report = post("/v1/lease", "{\"epoch\": " + std::to_string(epoch) + ", \"until_us\": 0}");
        const auto clock = member<std::int64_t>(report, "clock_us");
        post("/v1/lease", "{\"epoch\": " + std::to_string(epoch) + ", \"until_us\": " + std::to_string(clock + permitMs * 1000L) + "}");
        return clock;
    }

    void prepare(int attempt, int status = 200)
    {
        post("/v1/prepare", "{\"epoch\": 2, " + taskMember(attempt) + R"(, "accelerators": [0, 1], "processor_millis": 1, "memory_bytes": 1, "run_time_ms": 60000, "organisation": "o", "payload": "{\"run_ms\": 300}"})", status);
    }

    void startTask(int attempt, std::int64_t startBeforeUs, int status = 200)
    {
        post("/v1/start", "{\"epoch\": 2, " + taskMember(attempt) + ", \"start_before_us\": " + std::to_string(startBeforeUs) + "}", status);
    }

    std::string stateOf(int attempt)
    {
        const JsonValue report = post("/v1/lease", R"({"epoch": 2, "until_us": 0})");
        for (const JsonValue& item : report.getMember("tasks")) {
            if (member<int>(item, "attempt") == attempt)
                return member<std::string>(item, "state");
        }
        return "";
    }

    void workerChecksEpochAndPermit()
    {
        const Process process = start("worker", { "--workers=2" });
        prepare(1, 409);
        const std::int64_t clock = renewPermit(2, 100);
        post("/v1/lease", R"({"epoch": 1, "until_us": 0})", 409);
        prepare(1);
        startTask(1, clock - 1, 409);
        startTask(1, clock + 60000000);
        CPPUNIT_ASSERT(waitUntil([this] { return stateOf(1) == "stopped"; }));
        startTask(1, clock + 60000000, 409);
    }

    void workerRejectsStoppedTask()
    {
        const Process process = start("worker", {});
        const std::int64_t clock = renewPermit(2, 60000);
        post("/v1/stop", "{\"epoch\": 2, " + taskMember(1) + "}");
        prepare(1, 409);
        startTask(1, clock + 60000000, 409);
        prepare(2);
        post("/v1/prepare", "{\"epoch\": 2, " + taskMember(3) + R"(, "accelerators": [1], "processor_millis": 1, "memory_bytes": 1})", 409);
    }

    void taskResumesFromCheckpoint()
    {
        const Process process = start("worker", { "--checkpoint-ms=50" });
        const std::int64_t clock = renewPermit(2, 60000);
        prepare(1);
        startTask(1, clock + 60000000);
        post("/v1/checkpoint", "{\"epoch\": 2, " + taskMember(1) + ", \"deadline_us\": " + std::to_string(clock + 60000000) + "}");
        CPPUNIT_ASSERT(waitUntil([this] { return stateOf(1) == "checkpointed"; }));
        prepare(2);
        startTask(2, clock + 60000000);
        CPPUNIT_ASSERT(waitUntil([this] { return stateOf(2) == "finished"; }));
        setFaults("{\"kind\": \"fail_tasks\"}");
        prepare(3);
        startTask(3, clock + 60000000);
        CPPUNIT_ASSERT_EQUAL(std::string("failed"), stateOf(3));
    }

    Answer sendWork(const std::string& body, Duration timeout = std::chrono::seconds(5))
    {
        return send(address_, "POST", "/v1/work?kind=check", body, { { "x-request-id", requestTag(body) } }, timeout);
    }

    void minionAnswersAndReportsNotStarted()
    {
        const Process process = start("minion", { "--slots=1", "--queue=0" });
        std::thread slow([this] {
            const Answer answer = sendWork("slow\nwork_ms=1000\n");
            CPPUNIT_ASSERT_EQUAL(expectedAnswer("check", "slow\nwork_ms=1000\n"), answer->body_);
        });
        CPPUNIT_ASSERT(waitUntil([this] { return member<int>(get("/v1/health"), "busy") == 1; }));
        const Answer refused = sendWork("next");
        CPPUNIT_ASSERT_EQUAL(503, refused->status_);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), refused->headers_.at("x-not-started"));
        CPPUNIT_ASSERT_EQUAL(200, send(faultPort_, "POST", "/leave")->status_);
        slow.join();
        CPPUNIT_ASSERT_EQUAL(std::string("1"), sendWork("next")->headers_.at("x-leaving"));
    }

    void faultsCorruptMinionResponses()
    {
        const Process process = start("minion", { "--minions=2" });
        setFaults("{\"kind\": \"truncate\", \"instance\": \"catania-minion-0\"}");
        CPPUNIT_ASSERT(!sendWork("one"));
        setFaults("{\"kind\": \"malformed\"}");
        CPPUNIT_ASSERT(!sendWork("two"));
        setFaults("{\"kind\": \"silent\"}");
        CPPUNIT_ASSERT(!sendWork("three", std::chrono::milliseconds(200)));
        setFaults("{\"kind\": \"endless\"}");
        CPPUNIT_ASSERT(!sendWork("four", std::chrono::milliseconds(200)));
        setFaults("{\"kind\": \"refuse\"}");
        CPPUNIT_ASSERT(waitUntil([this] {
            const Answer answer = sendWork("five");
            return !answer && answer.error().failure_ == TransportFailure::NotSent;
        }));
        setFaults("{\"kind\": \"cross\"}");
        CPPUNIT_ASSERT(waitUntil([this] { return send(faultPort_, "GET", "/log").has_value() && sendWork("six").has_value(); }));
        Answer swapped = tl::unexpected<TransportError>(TransportError {});
        std::thread first([&] { swapped = sendWork("seven"); });
        const Answer answer = sendWork("eight");
        first.join();
        CPPUNIT_ASSERT_EQUAL(expectedAnswer("check", "seven"), answer->body_);
        CPPUNIT_ASSERT_EQUAL(std::string("eight"), swapped->headers_.at("x-request-id"));
    }

    void silentFaultLeavesNewConnectionsWorking()
    {
        const Process process = start("minion", {});
        const auto reused = [this] { return send(address_, "GET", "/v1/health", "", {}, std::chrono::milliseconds(300), true); };
        CPPUNIT_ASSERT(reused());
        setFaults("{\"kind\": \"silent\", \"only_open_connections\": true}");
        CPPUNIT_ASSERT(!reused());
        CPPUNIT_ASSERT(sendWork("new"));
    }

public:
    void setUp() override { client_ = std::make_unique<CxxtoolsHttpClient>(); }
    void tearDown() override { client_.reset(); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandInTest);
