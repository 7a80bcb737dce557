#include "server/callerrequests.h"

#include "callermessages.h"
#include "node/jobintake.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

using namespace fescuecleat;

/** What callers encode, the daemon decodes to the same values, and the other way round. */
class CallerRequestsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CallerRequestsTest);
    CPPUNIT_TEST(job);
    CPPUNIT_TEST(calls);
    CPPUNIT_TEST(answers);
    CPPUNIT_TEST(malformedAnswers);
    CPPUNIT_TEST_SUITE_END();

    /** All members of a job, in the daemon's own encoding. */
    static std::string allMembers(const PoolJobSpec& spec) { return encodeJobIntake({ {}, spec, 0 }); }

    void job()
    {
        StepSpec plain;
        plain.taskCount_ = 3;
        plain.resources_ = { 500, 256, 2 };
        plain.estimate_ = std::chrono::milliseconds(900);
        StepSpec full = plain;
        full.after_ = { 0 };
        full.isGang_ = full.wantsOneRack_ = full.savesProgress_ = full.isSpeculative_ = full.isLongRunning_ = full.isFiller_ = true;
        full.requiredLabel_ = "a";
        full.preferredRack_ = "r1-3";
        full.maxTasksPerWorker_ = 2;
        full.maxUnavailable_ = 1;
        full.image_ = "image:1";
        PoolJobSpec spec;
        spec.payload_ = "text \"quoted\"";
        spec.steps_ = { plain, full };
        for (const int occurrences : { 0, 2 }) {
            spec.occurrences_ = occurrences;
            spec.firstDueUnixMs_ = occurrences * 1786030948094;
            spec.periodMs_ = std::int64_t(occurrences) * 500;
            const auto decoded = format_.decodeJob(callerrequests::encodeJob(spec));
            CPPUNIT_ASSERT(decoded);
            CPPUNIT_ASSERT_EQUAL(allMembers(spec), allMembers(*decoded));
        }
    }

    /** The request as a listener receives it. */
    static ServerRequest received(const HttpCall& call)
    {
        ServerRequest request { call.method_, call.target_, {}, {}, call.body_, call.headers_ };
        request.host_ = request.header("Host").value_or("");
        request.authorization_ = request.header("Authorization").value_or("");
        return request;
    }

    void calls()
    {
        const callerrequests::Target target { "queues.example", "/first/", "key-1" };
        const Duration timeout = std::chrono::milliseconds(1500);
        const std::string id = "5c0e7a21d94b36f8";
        const auto check = [&](const HttpCall& call, const std::string& method, const std::string& path) {
            const ServerRequest request = received(call);
            CPPUNIT_ASSERT_EQUAL(method, request.method_);
            CPPUNIT_ASSERT_EQUAL(path, request.path_);
            CPPUNIT_ASSERT_EQUAL(target.host_, request.host_);
            CPPUNIT_ASSERT_EQUAL(target.key_, format_.apiKey(request));
            CPPUNIT_ASSERT(format_.callTimeout(request) == timeout);
        };
        check(callerrequests::submit(target, id, "{}", timeout), "POST", "/first/" + id);
        check(callerrequests::askState(target, id, timeout), "GET", "/first/" + id);
        check(callerrequests::cancel(target, id, timeout), "DELETE", "/first/" + id);
        check(callerrequests::countWaiting(target, timeout), "GET", "/first/");
        CPPUNIT_ASSERT_EQUAL(std::string("{}"), callerrequests::submit(target, id, "{}", timeout).body_);
        CPPUNIT_ASSERT(received(callerrequests::askState({ "queues.example", "/first/", "" }, id, timeout)).authorization_.empty());
    }

    void answers()
    {
        for (const PoolJobState state : { PoolJobState::Queued, PoolJobState::Running, PoolJobState::Completed, PoolJobState::Failed, PoolJobState::Cancelled })
            CPPUNIT_ASSERT(callerrequests::decodeState(format_.encodeState(state)) == state);
        for (const int jobs : { 0, 17 })
            CPPUNIT_ASSERT(callerrequests::decodeWaiting(format_.encodeWaiting(jobs)) == jobs);
        CPPUNIT_ASSERT(callerrequests::decodeAccepted("{}"));
    }

    /** Includes the answers to other calls. */
    void malformedAnswers()
    {
        for (const char* const body : { "", "{", "[]", "null", "{}", R"({"state":"lost"})", R"({"state":1})", R"({"state":"queued","x":1})", R"({"waiting":3})" })
            CPPUNIT_ASSERT_MESSAGE(body, !callerrequests::decodeState(body));
        for (const char* const body : { "", "{", "[]", "null", "{}", R"({"waiting":-1})", R"({"waiting":1.5})", R"({"waiting":"3"})", R"({"waiting":99999999999})", R"({"state":"queued"})" })
            CPPUNIT_ASSERT_MESSAGE(body, !callerrequests::decodeWaiting(body));
        for (const char* const body : { "", "{", "[]", "null", R"({"state":"queued"})" })
            CPPUNIT_ASSERT_MESSAGE(body, !callerrequests::decodeAccepted(body));
    }

    const CallerMessages format_ {};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerRequestsTest);
