#include "support/property.h"
#include "support/runningdaemon.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

using namespace fescuecleat;

namespace {

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

}

/** Invalid input and keys of other organisations against a running daemon: it answers with typed errors and stays up. */
class DaemonInputTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DaemonInputTest);
    CPPUNIT_TEST(rejectsInvalidBodies);
    CPPUNIT_TEST(rejectsInvalidFraming);
    CPPUNIT_TEST(rejectsMalformedHeads);
    CPPUNIT_TEST(rejectsInvalidOperatorRequests);
    CPPUNIT_TEST(stalledConnectionsDontBlockOthers);
    CPPUNIT_TEST(survivesMutatedRequests);
    CPPUNIT_TEST(separatesOrganisations);
    CPPUNIT_TEST(dumpsStateAsJson);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { daemon_ = std::make_unique<test::RunningDaemon>(); }

    /** After each test the daemon must still accept jobs and stop cleanly. */
    void tearDown() override
    {
        const HttpResponse submitted = daemon_->send(daemon_->callerAddress(), "POST", "/v1/jobs", daemon_->duomoKey(), validJob());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(submitted.body_, 202, submitted.status_);
        CPPUNIT_ASSERT_EQUAL(0, daemon_->stop());
        daemon_.reset();
    }

private:
    static std::string validJob() { return R"({"tasks": 1, "accelerators": 1, "run_time_ms": 1000})"; }

    std::string head(const std::string& line, const std::string& fields) const
    {
        return line + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\nAuthorization: Bearer " + daemon_->duomoKey() + "\r\n" + fields + "\r\n";
    }

    std::string post(const std::string& path, const std::string& body, const std::string& fields = {}) const
    {
        return head("POST " + path, fields + "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
    }

    void assertRejected(const std::string& bytes, int status, const std::string& kind) const
    {
        const std::string answer = test::rawExchange(daemon_->callerAddress(), bytes);
        const std::string message = bytes.substr(0, 300) + "\n->\n" + answer;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t { 0 }, answer.find("HTTP/1.1 " + std::to_string(status) + " "));
        CPPUNIT_ASSERT_MESSAGE(message, contains(answer, "{\"kind\":\"" + kind + "\",\"message\":\""));
        CPPUNIT_ASSERT_MESSAGE(message, contains(answer, "\"remedy\":\""));
    }

    void rejectsInvalidBodies()
    {
        for (const char* body : { "", "[1, }", "{", "{\"tasks\":", "{} {}", "{}x", "[1,]", "{\"tasks\": 1-2}", "{\"tasks\": tru}", "{\"payload\": \"\xff\xfe\"}" })
            assertRejected(post("/v1/jobs", body), 400, "invalid_syntax");
        assertRejected(post("/v1/jobs", std::string(1000000, '[')), 400, "too_deep");
        assertRejected(post("/v1/jobs", "{\"a\": " + std::string(100, '[') + std::string(100, ']') + "}"), 400, "too_deep");
        assertRejected(post("/v1/jobs", R"({"tasks": 1, "tasks": 2})"), 400, "duplicate_member");
        assertRejected(post("/v1/jobs", R"({"tasks": 1, "accelerators": 1, "run_time_ms": 1, "extra": 1})"), 400, "unknown_member");
        assertRejected(post("/v1/jobs", R"({"tasks": "1", "accelerators": 1, "run_time_ms": 1})"), 400, "wrong_type");
        assertRejected(post("/v1/jobs", R"({"tasks": 129, "accelerators": 1, "run_time_ms": 1})"), 400, "out_of_range");
        assertRejected(post("/v1/jobs", R"({"tasks": 1, "accelerators": 1, "run_time_ms": 99999999999999999999999})"), 400, "out_of_range");
        assertRejected(post("/v1/jobs", R"({"tasks": 1, "accelerators": 1, "run_time_ms": 1, "payload": ")" + std::string(20000, 'x') + "\"}"), 400, "out_of_range");
        assertRejected(post("/v1/services/rilievo/requests", "wall"), 400, "missing_member");
        assertRejected(post("/v1/services/rilievo/requests?kind=a", "wall", "X-Deadline-Ms: -5\r\n"), 400, "out_of_range");
        assertRejected(post("/v1/services/rilievo/requests?kind=a", "wall", "X-Idempotent: false\r\n"), 400, "missing_member");
    }

    void rejectsInvalidFraming()
    {
        assertRejected(head("POST /v1/jobs", "Content-Length: 5\r\nContent-Length: 50\r\n") + "12345", 400, "invalid_syntax");
        assertRejected(head("POST /v1/jobs", "Content-Length: -5\r\n") + "12345", 400, "invalid_syntax");
        assertRejected(head("POST /v1/jobs", "Content-Length: 5, 5\r\n") + "12345", 400, "invalid_syntax");
        assertRejected(head("POST /v1/jobs", "Content-Length: 0x5\r\n") + "12345", 400, "invalid_syntax");
        assertRejected(head("POST /v1/jobs", "Content-Length: 99999999999999999999\r\n"), 400, "invalid_syntax");
        assertRejected(head("POST /v1/jobs", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n", 411, "unsupported");
        assertRejected(head("POST /v1/jobs", "Transfer-Encoding: chunked\r\n") + "5\r\n12345\r\n0\r\n\r\n", 411, "unsupported");
        assertRejected(head("POST /v1/jobs", "Content-Length: 1000000000\r\n"), 413, "too_large");
        assertRejected(head("BREW /v1/jobs", ""), 405, "unsupported");
        assertRejected(head("GET /" + std::string(20000, 'a'), ""), 404, "not_found");
        assertRejected(head("GET /v1/jobs/x?wait_ms=soon", ""), 400, "out_of_range");
    }

    /** The HTTP library answers these or closes the connection before the handler sees a request. */
    void rejectsMalformedHeads()
    {
        for (const std::string& bytes : { std::string("garbage\r\n\r\n"), std::string("GET /v1/jobs\r\n\r\n"), std::string("GET /v1/jobs?wait_ms=%f HTTP/1.1\r\nConnection: close\r\n\r\n"), std::string("\x16\x03\x01\x02"),
                 "GET /v1/jobs HTTP/1.1\r\nX: " + std::string(100000, 'y') + "\r\n\r\n" }) {
            const std::string answer = test::rawExchange(daemon_->callerAddress(), bytes);
            CPPUNIT_ASSERT_MESSAGE(answer, answer.empty() || contains(answer, "HTTP/1.1 5") || contains(answer, "HTTP/1.1 4"));
        }
    }

    void rejectsInvalidOperatorRequests()
    {
        const auto assertRejected = [&](const std::string& method, const std::string& path, const std::string& body, int status, const std::string& kind) {
            const HttpResponse response = daemon_->send(daemon_->operatorAddress(), method, path, daemon_->operatorKey(), body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path + body + response.body_, status, response.status_);
            CPPUNIT_ASSERT_MESSAGE(response.body_, contains(response.body_, "{\"kind\":\"" + kind + "\""));
        };
        assertRejected("PUT", "/v1/configuration", "{", 400, "invalid_syntax");
        assertRejected("PUT", "/v1/configuration", "{}", 400, "missing_member");
        assertRejected("PUT", "/v1/configuration", R"({"expected_version": 1, "who": "a", "base": {}, "overlays": {"catania": {}}})", 400, "missing_member");
        assertRejected("POST", "/v1/data-centres/catania/out", R"({"deadline_ms": -1})", 400, "out_of_range");
        assertRejected("POST", "/v1/data-centres/catania/out", "", 400, "invalid_syntax");
        assertRejected("POST", "/v1/data-centres/atlantis/out", R"({"deadline_ms": 1})", 404, "not_found");
        assertRejected("GET", "/v1/nothing", "", 404, "not_found");
    }

    /** More stalled connections than server threads: other requests are served, and the stalled connections are closed. */
    void stalledConnectionsDontBlockOthers()
    {
        constexpr int connectionCount = 24;
        std::vector<std::unique_ptr<test::RawConnection>> stalled;
        for (int i = 0; i < connectionCount; ++i) {
            stalled.push_back(std::make_unique<test::RawConnection>(daemon_->callerAddress()));
            stalled.back()->send(i % 2 == 0 ? "GET /v1/jobs HT" : head("POST /v1/jobs", "Content-Length: 100\r\n") + "{");
        }
        for (int i = 0; i < connectionCount; ++i)
            CPPUNIT_ASSERT_EQUAL(200, daemon_->send(daemon_->callerAddress(), "GET", "/v1/jobs", daemon_->duomoKey()).status_);
        for (const auto& connection : stalled)
            CPPUNIT_ASSERT(!contains(connection->readAll(), "HTTP/1.1 2"));
    }

    void survivesMutatedRequests()
    {
        const std::string valid = post("/v1/jobs?wait_ms=1", validJob());
        CHECK_PROPERTY("the daemon keeps serving after requests with random byte changes", [&] {
            std::string bytes = valid;
            const int changes = *rc::gen::inRange(1, 6);
            for (int i = 0; i < changes; ++i)
                bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
            test::RawConnection connection(daemon_->callerAddress());
            connection.send(bytes);
        });
    }

    void separatesOrganisations()
    {
        const Address& callerAddress = daemon_->callerAddress();
        const HttpResponse submitted = daemon_->send(callerAddress, "POST", "/v1/jobs", daemon_->duomoKey(), validJob());
        CPPUNIT_ASSERT_EQUAL(202, submitted.status_);
        std::string job;
        parseJson(submitted.body_)->getMember("job").getValue(job);
        for (const auto& [method, suffix] : std::vector<std::pair<std::string, std::string>> { { "GET", "" }, { "GET", "/why" }, { "POST", "/cancel" } }) {
            const std::string path = "/v1/jobs/" + job + suffix;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 404, daemon_->send(callerAddress, method, path, daemon_->studioKey()).status_);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 401, daemon_->send(callerAddress, method, path, "").status_);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 401, daemon_->send(callerAddress, method, path, createKey().key_).status_);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 403, daemon_->send(callerAddress, method, path, daemon_->operatorKey()).status_);
            CPPUNIT_ASSERT_MESSAGE(path, daemon_->send(callerAddress, method, path, daemon_->duomoKey()).status_ < 300);
        }
        CPPUNIT_ASSERT(!contains(daemon_->send(callerAddress, "GET", "/v1/jobs", daemon_->studioKey()).body_, job));
        for (const char* path : { "/v1/state", "/v1/data-centres", "/v1/configuration", "/v1/configuration/history" }) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 403, daemon_->send(daemon_->operatorAddress(), "GET", path, daemon_->duomoKey()).status_);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 401, daemon_->send(daemon_->operatorAddress(), "GET", path, "").status_);
        }
    }

    void dumpsStateAsJson()
    {
        const HttpResponse state = daemon_->send(daemon_->operatorAddress(), "GET", "/v1/state", daemon_->operatorKey());
        CPPUNIT_ASSERT_EQUAL(200, state.status_);
        const Result<JsonValue> dump = parseJson(state.body_);
        CPPUNIT_ASSERT_MESSAGE(state.body_, dump);
        CPPUNIT_ASSERT(dump->findMember("scheduler"));
        const HttpResponse metrics = daemon_->send(daemon_->operatorAddress(), "GET", "/metrics", "");
        CPPUNIT_ASSERT_MESSAGE(metrics.body_, contains(metrics.body_, "# TYPE fescuecleat_request_seconds histogram"));
    }

    std::unique_ptr<test::RunningDaemon> daemon_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonInputTest);
