#include "callerload.h"

#include "callermessages.h"
#include "net/asynchttpserver.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <string>
#include <vector>

using namespace fescuecleat;

namespace {

constexpr const char* prefix = "/first/";

/** Two instances in this process that share their jobs; a job completes after it was asked for twice. */
class Instances {
public:
    explicit Instances(boost::asio::io_context& loop)
        : first_(loop, [this](const ServerRequest& request, const AsyncHttpServer::Respond& respond) { respond(answer(request)); })
        , second_(loop, [this](const ServerRequest& request, const AsyncHttpServer::Respond& respond) { respond(answer(request)); })
    {
        CPPUNIT_ASSERT(first_.listen(addresses()[0]));
        CPPUNIT_ASSERT(second_.listen(addresses()[1]));
    }

    static std::vector<SocketAddress> addresses() { return { { "127.0.0.1", 28431 }, { "127.0.0.1", 28432 } }; }

    int malformedRequests_ = 0;
    int cancellations_ = 0;
    int repetitions_ = 0;
    bool forgets_ = false;
    bool refuses_ = false;

private:
    struct StoredJob {
        int questions_ = 0;
        bool isCancelled_ = false;

        bool isCompleted() const { return questions_ > 2; }
    };

    ServerResponse answer(const ServerRequest& request)
    {
        if (request.host_ != "queues.example" || request.path_.rfind(prefix, 0) != 0 || format_.apiKey(request) != "key-1" || format_.callTimeout(request) != std::chrono::milliseconds(1500))
            ++malformedRequests_;
        const std::string id = request.path_.substr(std::string(prefix).size());
        if (refuses_)
            return { 503, "{}", {} };
        if (id.empty())
            return { 200, format_.encodeWaiting(3), {} };
        if (request.method_ == "POST") {
            if (!format_.decodeJob(request.body_))
                ++malformedRequests_;
            if (!jobs_.try_emplace(id).second)
                ++repetitions_;
            return { 200, "{}", {} };
        }
        const auto job = jobs_.find(id);
        if (job == jobs_.end() || forgets_)
            return { 410, "{}", {} };
        if (request.method_ == "DELETE") {
            ++cancellations_;
            job->second.isCancelled_ = !job->second.isCompleted();
            return { 200, "{}", {} };
        }
        ++job->second.questions_;
        if (job->second.isCancelled_)
            return { 200, format_.encodeState(PoolJobState::Cancelled), {} };
        return { 200, format_.encodeState(job->second.isCompleted() ? PoolJobState::Completed : PoolJobState::Running), {} };
    }

    CallerMessages format_;
    std::map<std::string, StoredJob> jobs_;
    AsyncHttpServer first_;
    AsyncHttpServer second_;
};

}

/** Callers that submit, ask and cancel over connections to instances in this process. */
class CallerLoadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CallerLoadTest);
    CPPUNIT_TEST(jobsCompleteOrAreCancelled);
    CPPUNIT_TEST(refusedJobsAreKnown);
    CPPUNIT_TEST(forgottenJobsAreFound);
    CPPUNIT_TEST_SUITE_END();

    struct Soak {
        Soak()
            : instances_(loop_)
            , client_(loop_)
            , callers_(loop_, client_, Instances::addresses(), { 7, 60, { { "first", "queues.example", prefix, "service", 0, "key-1", "organisation" } } })
        {
        }

        void run(Duration submitting, Duration finishing)
        {
            callers_.start();
            loop_.run_for(submitting);
            callers_.stopSubmitting();
            loop_.run_for(finishing);
        }

        boost::asio::io_context loop_;
        Instances instances_;
        AsyncHttpClient client_;
        CallerLoad callers_;
    };

    void jobsCompleteOrAreCancelled()
    {
        Soak soak;
        soak.run(std::chrono::seconds(2), std::chrono::seconds(6));
        const nlohmann::json summary = soak.callers_.summary();
        const std::string text = summary.dump();
        CPPUNIT_ASSERT_EQUAL(std::string("[]"), nlohmann::json(soak.callers_.violations()).dump());
        CPPUNIT_ASSERT_EQUAL(0, soak.instances_.malformedRequests_);
        CPPUNIT_ASSERT_MESSAGE(text, summary["submitted"] > 60);
        CPPUNIT_ASSERT_MESSAGE(text, summary["accepted"] == summary["submitted"]);
        CPPUNIT_ASSERT_MESSAGE(text, summary["cancelled"] > 0);
        CPPUNIT_ASSERT_MESSAGE(text, summary["completed"].get<int>() + summary["cancelled"].get<int>() >= summary["accepted"].get<int>());
        CPPUNIT_ASSERT_MESSAGE(text, summary["completionMs"]["p50"] > 1000);
        CPPUNIT_ASSERT(soak.instances_.cancellations_ > 0);
        CPPUNIT_ASSERT(soak.instances_.repetitions_ > 0);
        CPPUNIT_ASSERT(soak.callers_.openJobs().empty());
        CPPUNIT_ASSERT(soak.callers_.refusedJobs().empty());
    }

    void refusedJobsAreKnown()
    {
        Soak soak;
        soak.instances_.refuses_ = true;
        soak.run(std::chrono::milliseconds(500), std::chrono::milliseconds(200));
        CPPUNIT_ASSERT(soak.callers_.summary()["submitted"] > 10);
        CPPUNIT_ASSERT(soak.callers_.summary()["submitted"] == soak.callers_.refusedJobs().size());
        CPPUNIT_ASSERT(soak.callers_.openJobs().empty());
    }

    void forgottenJobsAreFound()
    {
        Soak soak;
        soak.instances_.forgets_ = true;
        soak.run(std::chrono::milliseconds(500), std::chrono::seconds(4));
        const std::vector<std::string> violations = soak.callers_.violations();
        CPPUNIT_ASSERT(!violations.empty());
        for (const std::string& violation : violations)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(violation, std::string("LOST "), violation.substr(0, 5));
        CPPUNIT_ASSERT(!soak.callers_.openJobs().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerLoadTest);
