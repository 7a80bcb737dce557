#include "api/configurationsubmission.h"
#include "api/drainrequest.h"
#include "api/errorresponse.h"
#include "api/jobsubmission.h"
#include "api/requestoptions.h"
#include "api/waittime.h"
#include "settings/merge.h"
#include "support/property.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

using namespace fescuecleat;

/** Parsing of API requests: accepted input, rejected input and error responses. */
class ApiTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ApiTest);
    CPPUNIT_TEST(roundTripsJobSubmissions);
    CPPUNIT_TEST(rejectsInvalidSubmissions);
    CPPUNIT_TEST(readsRequestOptions);
    CPPUNIT_TEST(rejectsInvalidRequestOptions);
    CPPUNIT_TEST(checksEveryDataCentre);
    CPPUNIT_TEST(rejectsInvalidBodies);
    CPPUNIT_TEST(readsWaitTimes);
    CPPUNIT_TEST(writesErrorResponses);
    CPPUNIT_TEST_SUITE_END();

    static ErrorKind submissionError(const std::string& text)
    {
        const ValidationResult<JobSpec> spec = parseJobSubmission(*parseJson(text), OrganisationId("duomo"));
        CPPUNIT_ASSERT_MESSAGE(text, !spec);
        return spec.error().front().kind_;
    }

    void roundTripsJobSubmissions()
    {
        CHECK_PROPERTY("a written submission is read back unchanged", [] {
            JobSpec spec;
            spec.organisation_ = OrganisationId("duomo");
            spec.tasks_ = *rc::gen::inRange(1, maxGangTasks + 1);
            spec.shape_.accelerators_ = *rc::gen::inRange(1, 65);
            spec.shape_.memoryBytes_ = *rc::gen::inRange<std::int64_t>(0, 1L << 40);
            spec.declaredRunTime_ = std::chrono::milliseconds(*rc::gen::inRange(1, 100000000));
            spec.adjacency_ = *rc::gen::element(Adjacency::Any, Adjacency::SameRack, Adjacency::SameWorker);
            spec.isUrgent_ = *rc::gen::arbitrary<bool>();
            spec.isIdempotent_ = *rc::gen::arbitrary<bool>();
            spec.canCheckpoint_ = *rc::gen::arbitrary<bool>();
            spec.idempotencyKey_ = "k" + *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', 127));
            spec.idempotencyKey_.resize(std::min<std::size_t>(spec.idempotencyKey_.size(), 128));
            spec.payload_ = *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', 127));
            const ValidationResult<JobSpec> read = parseJobSubmission(*parseJson(writeJson(writeJobSubmission(spec))), spec.organisation_);
            RC_ASSERT(read.has_value());
            RC_ASSERT(*read == spec);
        });
    }

    void rejectsInvalidSubmissions()
    {
        const std::string otherMembers = R"("accelerators": 8, "run_time_ms": 1000)";
        CPPUNIT_ASSERT(submissionError("{" + otherMembers + "}") == ErrorKind::MissingMember);
        CPPUNIT_ASSERT(submissionError(R"({"tasks": 0, )" + otherMembers + "}") == ErrorKind::OutOfRange);
        CPPUNIT_ASSERT(submissionError(R"({"tasks": 129, )" + otherMembers + "}") == ErrorKind::OutOfRange);
        CPPUNIT_ASSERT(submissionError(R"({"tasks": "1", )" + otherMembers + "}") == ErrorKind::WrongType);
        CPPUNIT_ASSERT(submissionError(R"({"tasks": 1.5, )" + otherMembers + "}") == ErrorKind::WrongType);
        CPPUNIT_ASSERT(submissionError(R"({"tasks": 1, "organisation": "studio", )" + otherMembers + "}") == ErrorKind::UnknownMember);
        CPPUNIT_ASSERT(submissionError(R"({"tasks": 1, "adjacency": "near", )" + otherMembers + "}") == ErrorKind::OutOfRange);
        CPPUNIT_ASSERT(submissionError(R"({"tasks": 1, "idempotent": false, )" + otherMembers + "}") == ErrorKind::MissingMember);
        CPPUNIT_ASSERT(submissionError("[]") == ErrorKind::WrongType);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, parseJobSubmission(*parseJson(R"({"tasks": -1, "urgent": 1, "accelerators": 1})"), {}).error().size());
    }

    void readsRequestOptions()
    {
        const Time now { std::chrono::hours(5) };
        HttpRequest request;
        request.query_["kind"] = "crack-map";
        CPPUNIT_ASSERT(parseRequestOptions(request, now)->isIdempotent_);
        CPPUNIT_ASSERT(parseRequestOptions(request, now)->deadline_ > now);
        request.headers_ = { { "x-deadline-ms", "1500" }, { "x-idempotent", "false" }, { "idempotency-key", "batch-7" } };
        const ValidationResult<RequestOptions> options = parseRequestOptions(request, now);
        CPPUNIT_ASSERT(options);
        CPPUNIT_ASSERT(options->deadline_ == now + std::chrono::milliseconds(1500));
        CPPUNIT_ASSERT(!options->isIdempotent_);
        CPPUNIT_ASSERT_EQUAL(std::string("batch-7"), options->idempotencyKey_);
    }

    void rejectsInvalidRequestOptions()
    {
        const std::vector<HttpHeaders> invalidHeaders {
            { { "x-deadline-ms", "0" } }, { { "x-deadline-ms", "-1" } }, { { "x-deadline-ms", "600001" } }, { { "x-deadline-ms", "1s" } },
            { { "x-deadline-ms", "99999999999999999999" } }, { { "x-idempotent", "no" } }, { { "x-idempotent", "false" } },
            { { "idempotency-key", "a b" } }, { { "idempotency-key", std::string(129, 'a') } }
        };
        for (const HttpHeaders& headers : invalidHeaders) {
            HttpRequest request;
            request.query_["kind"] = "crack-map";
            request.headers_ = headers;
            CPPUNIT_ASSERT_MESSAGE(headers.begin()->first + headers.begin()->second, !parseRequestOptions(request, {}));
        }
        CPPUNIT_ASSERT(parseRequestOptions({}, {}).error().front().kind_ == ErrorKind::MissingMember);
    }

    void checksEveryDataCentre()
    {
        const JsonValue base = *parseJson(R"({"data_centre": {"workers": 8, "workers_per_rack": 8, "accelerators_per_worker": 8},
            "operators": {"keys": ["blake2b:0011223344556677:00112233445566778899aabbccddeeff:)"
            + std::string(64, '0') + R"("]}, "organisations": {"duomo": {"guarantee": {"rack": 1}}}})");
        const auto submission = parseConfigurationSubmission(*parseJson(R"({"expected_version": 3, "who": "anna", "base": )" + writeJson(base)
            + R"(, "overlays": {"catania": {}, "palermo": {"data_centre": {"workers": 4}}}})"));
        CPPUNIT_ASSERT(submission);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 3 }, submission->expectedVersion_);
        const std::vector<DataCentreId> both { DataCentreId("catania"), DataCentreId("palermo") };
        const auto deployment = parseDeployment(submission->base_, submission->overlays_, both);
        CPPUNIT_ASSERT(!deployment);
        CPPUNIT_ASSERT(deployment.error().front().kind_ == ErrorKind::GuaranteeDoesNotFit);
        CPPUNIT_ASSERT_EQUAL(std::string("palermo: organisations"), deployment.error().front().location_);
        // A data centre without an overlay uses the base alone, which is checked too.
        CPPUNIT_ASSERT(parseDeployment(submission->base_, {}, both));
        CPPUNIT_ASSERT(!parseDeployment(merge(submission->base_, *parseJson(R"({"data_centre": null})")), {}, both));
        CPPUNIT_ASSERT(parseDeployment(submission->base_, submission->overlays_, { both[0] }).error().front().kind_ == ErrorKind::UnknownReference);
        CPPUNIT_ASSERT_EQUAL(writeJson(toJson(*submission)), writeJson(toJson(*parseConfigurationSubmission(toJson(*submission)))));
    }

    void rejectsInvalidBodies()
    {
        for (const char* text : { R"({})", R"({"expected_version": -1, "who": "a", "base": {}, "overlays": {"c": {}}})",
                 R"({"expected_version": 1, "who": "a", "base": {}, "overlays": {}})", R"({"expected_version": 1, "who": "a", "base": {}, "overlays": {"c": 1}})" })
            CPPUNIT_ASSERT_MESSAGE(text, !parseConfigurationSubmission(*parseJson(text)));
        for (const char* text : { R"({})", R"({"deadline_ms": -1})", R"({"deadline_ms": "5"})", R"({"deadline_ms": 1e12})" })
            CPPUNIT_ASSERT_MESSAGE(text, !parseDrainRequest(*parseJson(text), {}));
    }

    void readsWaitTimes()
    {
        const WaitLimits limits { std::chrono::seconds(6), std::chrono::seconds(20) };
        HttpRequest request;
        CPPUNIT_ASSERT(parseWaitTime(request, limits) == limits.default_);
        request.query_["wait_ms"] = "1500";
        CPPUNIT_ASSERT(parseWaitTime(request, limits) == Duration(1500000));
        request.query_["wait_ms"] = "900000";
        CPPUNIT_ASSERT(parseWaitTime(request, limits) == limits.max_);
        for (const char* text : { "", "-1", "1s", "99999999999999999999" }) {
            request.query_["wait_ms"] = text;
            CPPUNIT_ASSERT_MESSAGE(text, parseWaitTime(request, limits).error().kind_ == ErrorKind::OutOfRange);
        }
    }

    void writesErrorResponses()
    {
        const HttpResponse overloaded = writeError({ ErrorKind::Overloaded, "queue is full", "come back later", {} });
        CPPUNIT_ASSERT_EQUAL(503, overloaded.status_);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), overloaded.headers_.at("retry-after"));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"kind":"overloaded","message":"queue is full","remedy":"come back later"})"), overloaded.body_);
        const HttpResponse multiple = writeErrors({ { ErrorKind::WrongType, "a", "b", "c" }, { ErrorKind::NotFound, "d", "e", {} } });
        CPPUNIT_ASSERT_EQUAL(400, multiple.status_);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, parseJson(multiple.body_)->getMember("errors").memberCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApiTest);
