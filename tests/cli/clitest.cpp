#include "api/errorresponse.h"
#include "auth/keyring.h"
#include "cli/jobfile.h"
#include "http/httphandler.h"
#include "http/httpserver.h"
#include "settings/settingsloader.h"
#include "support/ports.h"
#include "json/json.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <cstdlib>
#include <cxxtools/net/tcpserver.h>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <sys/wait.h>
#include <vector>

using namespace fescuecleat;

namespace {

/** Returns scripted answers in order, repeating the last one, and records the requests. */
class ScriptedHandler : public HttpHandler {
public:
    HttpResponse handle(const HttpRequest& request) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        requests_.push_back(request);
        if (answers_.empty())
            return writeError({ ErrorKind::NotFound, "no answer is scripted", "call script()", {} });
        HttpResponse answer = answers_.front();
        if (answers_.size() > 1)
            answers_.erase(answers_.begin());
        return answer;
    }

    void script(std::vector<HttpResponse> answers)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        answers_ = std::move(answers);
        requests_.clear();
    }

    std::vector<HttpRequest> requests() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return requests_;
    }

private:
    mutable std::mutex mutex_;
    std::vector<HttpResponse> answers_;
    std::vector<HttpRequest> requests_;
};

/** Exit code and output of a command. */
struct CommandResult {
    int exitCode_ = -1;
    std::string text_;
};

HttpResponse jsonAnswer(const std::string& body) { return writeAnswer(*parseJson(body)); }

std::string environment(const char* name)
{
    const char* const value = std::getenv(name);
    return value ? value : "";
}

/** Runs fescuecleat through the shell; the text includes standard error. */
CommandResult run(const std::string& arguments, const std::string& variables = {})
{
    const std::string line = variables + " " + environment("FESCUECLEAT_BIN") + "/fescuecleat " + arguments + " 2>&1";
    std::FILE* const pipe = popen(line.c_str(), "r");
    CPPUNIT_ASSERT(pipe);
    CommandResult result;
    char buffer[4096];
    while (const std::size_t byteCount = std::fread(buffer, 1, sizeof buffer, pipe))
        result.text_.append(buffer, byteCount);
    result.exitCode_ = WEXITSTATUS(pclose(pipe));
    return result;
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

}

/** Runs the program fescuecleat against a scripted daemon and checks its requests, output and exit codes. */
class CliTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CliTest);
    CPPUNIT_TEST(everyCommandHasHelp);
    CPPUNIT_TEST(usageErrorsNameRemedy);
    CPPUNIT_TEST(submitsJobFromOptions);
    CPPUNIT_TEST(submitsFileWithEachOwnersKey);
    CPPUNIT_TEST(reportsEndOfAwaitedJobs);
    CPPUNIT_TEST(distinguishesRequestOutcomes);
    CPPUNIT_TEST(doesNotResendUnansweredRequest);
    CPPUNIT_TEST(reportsPendingChanges);
    CPPUNIT_TEST(appliesBaseAndOverlaysWithoutSecrets);
    CPPUNIT_TEST(checksEveryExample);
    CPPUNIT_TEST(newKeysMatchOverlay);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        address_ = test::freeAddress();
        server_ = std::make_unique<HttpServer>(address_, handler_);
        variables_ = "FESCUECLEAT_CALLER=" + toString(address_) + " FESCUECLEAT_OPERATOR=" + toString(address_) + " FESCUECLEAT_KEY=secret";
    }

    void tearDown() override { server_.reset(); }

private:
    CommandResult call(const std::string& arguments) { return run(arguments, variables_); }

    static void assertResult(const CommandResult& result, int exitCode, const std::string& part)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.text_, exitCode, result.exitCode_);
        CPPUNIT_ASSERT_MESSAGE(result.text_, contains(result.text_, part));
    }

    void everyCommandHasHelp()
    {
        const std::string overview = run("--help").text_;
        for (const char* command : { "submit", "status", "wait", "why", "cancel", "jobs", "request", "data-centre list", "data-centre out", "data-centre return", "explain",
                 "config check", "config apply", "config show", "config history", "state", "key new" }) {
            CPPUNIT_ASSERT_MESSAGE(command, contains(overview, std::string("  ") + command + " "));
            const CommandResult help = run(std::string(command) + " --help");
            assertResult(help, 0, std::string("Examples:\n  fescuecleat ") + command);
            CPPUNIT_ASSERT(contains(help.text_, "Exit codes:"));
        }
    }

    void usageErrorsNameRemedy()
    {
        const std::vector<std::pair<const char*, const char*>> usageErrors {
            { "", "see fescuecleat --help" }, { "sumbit", "\"sumbit\" is no command" }, { "submit --tsaks 3", "--tsaks: unknown option" }, { "submit --tasks many", "invalid numeric value" },
            { "submit --tasks 0", "give a value from 1 to 128" }, { "submit --run-time 30", "such as \"30s\"" }, { "submit extra", "\"extra\" is not expected" },
            { "status", "the id of one job is missing" }, { "jobs --caller here:1", "numeric IP" }, { "jobs --output xml", "neither text nor json" },
            { "jobs --key-file none.txt", "none.txt: file can't be read" }, { "data-centre out", "the data centre is missing" }, { "request rilievo", "--kind KIND" },
            { "request rilievo --kind a --not-idempotent", "needs --idempotency-key" }, { "config check", "name a base file" }, { "config apply base.json", "DATA_CENTRE=OVERLAY" }
        };
        for (const auto& [arguments, remedy] : usageErrors) {
            const CommandResult result = call(arguments);
            assertResult(result, 1, remedy);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(result.text_, std::size_t { result.text_.size() - 1 }, result.text_.find('\n'));
        }
        CPPUNIT_ASSERT(handler_.requests().empty());
    }

    void submitsJobFromOptions()
    {
        handler_.script({ jsonAnswer(R"({"job": "job-17", "state": "submitted"})") });
        const CommandResult result = call("submit --tasks 4 --accelerators 8 --adjacency same_rack --run-time 2h --urgent --idempotency-key k1");
        assertResult(result, 0, "job: job-17\nstate: submitted\n");
        const HttpRequest request = handler_.requests().at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("Bearer secret"), request.headers_.at("authorization"));
        CPPUNIT_ASSERT_EQUAL(std::string("POST /v1/jobs"), request.method_ + " " + request.path_);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"tasks":4,"accelerators":8,"processor_millis":1000,"memory_bytes":0,"run_time_ms":7200000,"adjacency":"same_rack","urgent":true,"idempotent":true,"can_checkpoint":true,"idempotency_key":"k1"})"), request.body_);
        assertResult(call("submit --output json"), 0, "{\"job\":\"job-17\",\"state\":\"submitted\"}\n");
    }

    void submitsFileWithEachOwnersKey()
    {
        std::ofstream("clitest.keys") << "beni-culturali K1\nduomo-restauro K2\nstudio-etneo K3\ncomune-noto K4\n";
        handler_.script({ jsonAnswer(R"({"job": "job-17", "state": "submitted"})") });
        const CommandResult result = call("submit --file " + environment("FESCUECLEAT_SOURCE") + "/examples/demo/jobs.json --key-file clitest.keys");
        std::remove("clitest.keys");
        assertResult(result, 0, "name                 job     state\nchurch-of-noto       job-17  submitted\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 7 }, handler_.requests().size());
        CPPUNIT_ASSERT_EQUAL(std::string("Bearer K2"), handler_.requests()[1].headers_.at("authorization"));
        CPPUNIT_ASSERT(!parseJobFile(R"({"jobs": [{"name": "a", "organisation": "b", "tasks": 0}]})", "file"));
    }

    void reportsEndOfAwaitedJobs()
    {
        const HttpResponse running = jsonAnswer(R"({"job": "job-1", "state": "running"})");
        handler_.script({ running, running, jsonAnswer(R"({"job": "job-1", "state": "finished"})") });
        assertResult(call("wait job-1"), 0, "job-1  finished");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, handler_.requests().size());
        CPPUNIT_ASSERT(!handler_.requests()[0].query_.at("wait_ms").empty());
        handler_.script({ writeError({ ErrorKind::Unavailable, "restarting", "try again", {} }), jsonAnswer(R"({"job": "job-1", "state": "failed", "reason": "out of memory"})") });
        assertResult(call("wait job-1"), 5, "out of memory");
        handler_.script({ running });
        assertResult(call("wait job-1 --timeout 100ms"), 6, "running");
        handler_.script({ writeError({ ErrorKind::NotFound, "no such job", "check its id", {} }) });
        assertResult(call("status job-1"), 2, "no such job; check its id [not_found]");
    }

    void distinguishesRequestOutcomes()
    {
        HttpResponse answered;
        answered.headers_["x-outcome"] = "answered";
        answered.body_ = "the crack map";
        handler_.script({ answered });
        assertResult(call("request rilievo --kind crack-map --body wall --timeout 5s"), 0, "the crack map\n");
        const HttpRequest request = handler_.requests().at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("crack-map"), request.query_.at("kind"));
        CPPUNIT_ASSERT_EQUAL(std::string("true"), request.headers_.at("x-idempotent"));
        CPPUNIT_ASSERT_EQUAL(std::string("wall"), request.body_);

        HttpResponse notRun = writeError({ ErrorKind::Overloaded, "all slots are busy", "come back later", {} });
        notRun.headers_["x-outcome"] = "not_run";
        handler_.script({ notRun });
        assertResult(call("request rilievo --kind crack-map"), 3, "all slots are busy");
        HttpResponse unknown = writeError({ ErrorKind::OutcomeUnknown, "the minion went silent", "ask the service", {} });
        unknown.headers_["x-outcome"] = "unknown";
        handler_.script({ unknown });
        assertResult(call("request rilievo --kind batch --not-idempotent --idempotency-key b1"), 4, "the minion went silent");
    }

    /** Guards against duplicate jobs: if the daemon accepts the connection and doesn't answer, the client must not resend but name the idempotency key for a safe repeat. */
    void doesNotResendUnansweredRequest()
    {
        server_.reset();
        assertResult(call("submit"), 3, "check the address");

        cxxtools::net::TcpServer silent(address_.ip_, address_.port_);
        assertResult(call("submit --timeout 300ms --idempotency-key k9"), 4, "submit it again with --idempotency-key k9");
    }

    void reportsPendingChanges()
    {
        handler_.script({ jsonAnswer(R"({"status": "pending"})"), jsonAnswer(R"({"status": "done"})") });
        assertResult(call("data-centre out palermo --drain-time 10min --who anna"), 0, "status: done");
        CPPUNIT_ASSERT_EQUAL(std::string("anna"), handler_.requests().at(0).headers_.at("x-operator"));
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/data-centres/palermo/out"), handler_.requests().at(1).path_);
        handler_.script({ jsonAnswer(R"({"status": "pending"})") });
        assertResult(call("data-centre return palermo --timeout 200ms"), 6, "status: pending");
    }

    void appliesBaseAndOverlaysWithoutSecrets()
    {
        const std::string demo = environment("FESCUECLEAT_SOURCE") + "/examples/demo/";
        const std::string files = demo + "base.json catania=" + demo + "catania.json palermo=" + demo + "palermo.json";
        handler_.script({ jsonAnswer(R"({"version": 6})"), jsonAnswer(R"({"version": 7, "status": "accepted", "missing": []})") });
        assertResult(call("config apply " + files + " --who anna"), 0, "status: accepted");
        const JsonValue body = *parseJson(handler_.requests().at(1).body_);
        CPPUNIT_ASSERT_EQUAL(std::string("6"), writeJson(body.getMember("expected_version")).substr(0, 1));
        CPPUNIT_ASSERT(body.getMember("overlays").findMember("palermo"));
        CPPUNIT_ASSERT(!body.getMember("base").findMember("platform"));

        handler_.script({ jsonAnswer(R"({"version": 8, "status": "pending", "missing": ["palermo"]})") });
        assertResult(call("config apply " + files + " --expected-version 7"), 6, "palermo");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, handler_.requests().size());
        handler_.script({ writeError({ ErrorKind::Conflict, "version 9 is in force", "look at it and apply again", {} }) });
        assertResult(call("config apply " + files + " --expected-version 7"), 2, "version 9 is in force");
    }

    void checksEveryExample()
    {
        const std::string folder = environment("FESCUECLEAT_SOURCE") + "/examples/";
        for (const char* overlay : { "pietralogica/catania", "pietralogica/palermo", "pietralogica/siracusa", "coralbine/brisbane", "coralbine/gold-coast", "coralbine/sunshine-coast", "demo/catania", "demo/palermo" }) {
            const std::string name = overlay;
            const std::string base = folder + name.substr(0, name.find('/')) + "/base.json ";
            assertResult(run("config check " + base + folder + name + ".json"), 0, "\"organisations\"");
        }
        assertResult(run("config check " + folder + "pietralogica/base.json " + folder + "pietralogica/catania.json " + folder + "instance.json"), 0, "entry-1");
        std::ofstream("clitest.json") << "{\"policy\":\n  {\"max_attempts\": 0, \"x\": 1}}";
        const CommandResult result = run("config check " + folder + "demo/base.json clitest.json");
        std::remove("clitest.json");
        assertResult(result, 1, "clitest.json:2: policy.max_attempts: value is out of range; give a value from 1 to 100 [out_of_range]");
        CPPUNIT_ASSERT(contains(result.text_, "clitest.json:2: policy.x"));
    }

    void newKeysMatchOverlay()
    {
        const CommandResult result = run("key new operators duomo --overlay clitest.json");
        CPPUNIT_ASSERT_EQUAL(0, result.exitCode_);
        const Result<DocumentFile> overlay = readDocumentFile("clitest.json");
        std::remove("clitest.json");
        CPPUNIT_ASSERT(overlay);
        std::string hash;
        overlay->value_.getMember("organisations").getMember("duomo").getMember("keys").begin()->getValue(hash);
        const std::string key = result.text_.substr(6, result.text_.find('\n') - 6);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, result.text_.find("duomo fck_"));
        CPPUNIT_ASSERT(matches(key, *parseKeyHash(hash)));
        assertResult(run("key new --peer --output json"), 0, "secret_key");
    }

    ScriptedHandler handler_;
    Address address_;
    std::unique_ptr<HttpServer> server_;
    std::string variables_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CliTest);
