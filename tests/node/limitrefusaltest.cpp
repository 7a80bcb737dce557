#include "node/jobintake.h"
#include "node/poolfixture.h"
#include "node/storelayout.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

/** Takes a body for the number of accelerators of each of eight tasks; "g" before it makes them a gang. */
class EightTasksFormat : public FakeCallerFormat {
public:
    Result<PoolJobSpec> decodeJob(const std::string& body) const override
    {
        PoolJobSpec spec;
        spec.steps_.push_back(oneTask());
        spec.steps_.front().taskCount_ = 8;
        spec.steps_.front().isGang_ = body.front() == 'g';
        spec.steps_.front().resources_.accelerators_ = std::stoi(body.substr(body.front() == 'g' ? 1 : 0));
        return spec;
    }
};

}

/** Jobs that the limit of their organisation can never hold are refused when they are submitted. */
class LimitRefusalTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LimitRefusalTest);
    CPPUNIT_TEST(neverFittingJobIsRefused);
    CPPUNIT_TEST(acceptedJobIsConfirmedUnderALoweredLimit);
    CPPUNIT_TEST(refusalNeedsTheStore);
    CPPUNIT_TEST_SUITE_END();

    struct Api {
        Api()
        {
            QueueConfiguration queue;
            queue.name_ = queue.prefix_ = "/q/";
            queue.host_ = "host";
            queue.service_ = "service";
            configuration_->queues_.push_back(queue);
            configuration_->organisations_.push_back({ "org", { "secret" }, 0, { 0, { 0, 0, 15 } } });
        }

        ServerResponse submit(const std::string& id, const std::string& body)
        {
            ServerRequest request;
            request.method_ = "POST";
            request.path_ = "/q/" + id;
            request.host_ = "host";
            request.authorization_ = "secret";
            request.body_ = body;
            std::optional<ServerResponse> answer;
            api_.handle(request, [&answer](const ServerResponse& response) { answer = response; });
            CPPUNIT_ASSERT(pool_.runUntil([&answer] { return answer.has_value(); }));
            return *answer;
        }

        PoolFixture pool_;
        EightTasksFormat format_;
        std::shared_ptr<PoolConfiguration> configuration_ = std::make_shared<PoolConfiguration>(testConfiguration());
        NodeContext context_ { pool_.loop_, pool_.settings_, pool_.log_, pool_.store_, pool_.workers_, pool_.operatorFormat_, pool_.registryFormat_, format_, pool_.clock_ };
        JobApi api_ { context_, { [this] { return configuration_; }, [] { return true; }, [] { return nullptr; }, [](const StoredRow&) {} } };
    };

    /** Guards against jobs that are accepted and wait for good, and against refusals of jobs that only have to wait. */
    void neverFittingJobIsRefused()
    {
        Api api;
        const ServerResponse refusal = api.submit("00000000000000aa", "g2");
        CPPUNIT_ASSERT_EQUAL(422, refusal.status_);
        for (const char* const part : { "gang of 8", "16 accelerators", "is 15", "org", "raise the limit" })
            CPPUNIT_ASSERT_MESSAGE(refusal.body_, refusal.body_.find(part) != std::string::npos);
        CPPUNIT_ASSERT(!api.pool_.store_.value(intakeTable, "00000000000000aa"));
        CPPUNIT_ASSERT_EQUAL(422, api.submit("00000000000000ab", "16").status_);
        CPPUNIT_ASSERT_EQUAL(200, api.submit("00000000000000ac", "15").status_);
        CPPUNIT_ASSERT_EQUAL(200, api.submit("00000000000000ad", "g1").status_);
        CPPUNIT_ASSERT(api.pool_.store_.value(intakeTable, "00000000000000ac"));
    }

    /** Guards against telling a caller who repeats a submission that an accepted job was refused. */
    void acceptedJobIsConfirmedUnderALoweredLimit()
    {
        Api api;
        CPPUNIT_ASSERT_EQUAL(200, api.submit("00000000000000aa", "g1").status_);
        api.configuration_->organisations_.front().policy_.limit_.accelerators_ = 7;
        CPPUNIT_ASSERT_EQUAL(200, api.submit("00000000000000aa", "g1").status_);
        CPPUNIT_ASSERT_EQUAL(422, api.submit("00000000000000ab", "g1").status_);
    }

    /** Guards against a refusal while nobody can tell whether the job was accepted before. */
    void refusalNeedsTheStore()
    {
        Api api;
        api.pool_.store_.setRefusing(true);
        CPPUNIT_ASSERT_EQUAL(503, api.submit("00000000000000aa", "g2").status_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitRefusalTest);
