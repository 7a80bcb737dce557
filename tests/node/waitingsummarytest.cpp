#include "node/waitingsummary.h"

#include "base/bootclock.h"
#include "node/poolfixture.h"
#include "node/storelayout.h"
#include "node/virtualclock.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

/** An instance without a scheduler that callers ask for the waiting jobs, in virtual time. */
class AskedInstance {
public:
    AskedInstance()
        : api_(pool_.context_, { [this] { return configuration_; }, [] { return true; }, [] { return nullptr; }, [](const StoredRow&) {} })
    {
        auto configuration = std::make_shared<PoolConfiguration>();
        configuration->version_ = 1;
        QueueConfiguration queue;
        queue.name_ = "queue";
        queue.host_ = "host";
        queue.prefix_ = "/q/";
        queue.isPublic_ = true;
        configuration->queues_.push_back(queue);
        configuration_ = configuration;
    }

    void runFor(Duration duration)
    {
        constexpr Duration tick = 5ms;
        for (Duration passed {}; passed < duration; passed += tick) {
            clock_.advance(tick);
            VirtualClock::poll(pool_.loop_);
        }
    }

    void put(const std::string& summary) { pool_.store_.put(PoolController::summaryTable, PoolController::summaryKey, summary, schedulerPart); }

    ServerResponse ask()
    {
        ServerRequest request;
        request.method_ = "GET";
        request.path_ = "/q/";
        request.host_ = "host";
        std::optional<ServerResponse> response;
        api_.handle(request, [&response](ServerResponse answer) { response = std::move(answer); });
        runFor(20ms);
        CPPUNIT_ASSERT(response.has_value());
        return *response;
    }

    static std::int64_t msAgo(Duration age) { return wholeMilliseconds((bootTimeNow() - age).time_since_epoch()); }

    VirtualClock clock_;
    PoolFixture pool_;
    std::shared_ptr<const PoolConfiguration> configuration_;
    JobApi api_;
};

}

/** The number of waiting jobs that instances answer without being the lease holder. */
class WaitingSummaryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WaitingSummaryTest);
    CPPUNIT_TEST(oldSummaryIsNotAnswered);
    CPPUNIT_TEST(summaryOfEarlierVersionIsNotAnswered);
    CPPUNIT_TEST(missingSummaryIsNotAnswered);
    CPPUNIT_TEST(holderRepeatsSameNumber);
    CPPUNIT_TEST(numberIsRightAfterTakeover);
    CPPUNIT_TEST(keepsNamesOfQueues);
    CPPUNIT_TEST_SUITE_END();

    /** Guards against numbers that lack the jobs accepted since: a summary of any age was answered. */
    void oldSummaryIsNotAnswered()
    {
        AskedInstance instance;
        instance.put(encodeWaitingSummary({ { { "queue", 3 }, { "other", 5 } }, AskedInstance::msAgo(1900ms) }));
        const ServerResponse current = instance.ask();
        CPPUNIT_ASSERT_EQUAL(200, current.status_);
        CPPUNIT_ASSERT_EQUAL(std::string("3"), current.body_);
        instance.runFor(100ms);
        const ServerResponse old = instance.ask();
        CPPUNIT_ASSERT_EQUAL(503, old.status_);
        CPPUNIT_ASSERT_EQUAL(std::string("Retry-After"), old.headers_.at(0).first);
    }

    /** Guards against numbers of unknown age during an update from a version that stored no time. */
    void summaryOfEarlierVersionIsNotAnswered()
    {
        AskedInstance instance;
        instance.put(R"({"queue":3})");
        CPPUNIT_ASSERT_EQUAL(503, instance.ask().status_);
        CPPUNIT_ASSERT_EQUAL(3, decodeWaitingSummary(R"({"queue":3})")->jobsOf("queue"));
    }

    /** Guards against a number of zero that nobody has counted. */
    void missingSummaryIsNotAnswered()
    {
        AskedInstance instance;
        CPPUNIT_ASSERT_EQUAL(503, instance.ask().status_);
    }

    /** Guards against 503 for a number that doesn't change: it was written only when it changed. */
    void holderRepeatsSameNumber()
    {
        AskedInstance instance;
        const auto scheduler = instance.pool_.scheduler("a");
        instance.pool_.submit(jobId, oneTask());
        instance.runFor(2s);
        for (int i = 0; i < 20; ++i) {
            instance.runFor(250ms);
            const ServerResponse response = instance.ask();
            CPPUNIT_ASSERT_EQUAL(200, response.status_);
            CPPUNIT_ASSERT_EQUAL(std::string("1"), response.body_);
        }
    }

    /** Guards against less than half of the truth after a change of the holder: the number of the former holder was answered. */
    void numberIsRightAfterTakeover()
    {
        AskedInstance instance;
        auto former = instance.pool_.scheduler("a");
        instance.pool_.submit(jobId, oneTask());
        instance.runFor(2s);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), instance.ask().body_);
        former.reset();
        for (int i = 0; i < 4; ++i)
            instance.pool_.submit("10000000000000b" + std::to_string(i), oneTask());
        const Time submittedAt = bootTimeNow();
        const auto next = instance.pool_.scheduler("b");
        bool isRefused = false;
        bool isAnswered = false;
        while (bootTimeNow() < submittedAt + 10s) {
            const ServerResponse response = instance.ask();
            isRefused = isRefused || response.status_ == 503;
            isAnswered = response.status_ == 200 && response.body_ == "5";
            CPPUNIT_ASSERT(response.status_ == 503 || isAnswered || bootTimeNow() < submittedAt + 2s);
        }
        CPPUNIT_ASSERT(isRefused && isAnswered);
    }

    /** Guards against queues whose names look like other members, and against texts of other writers. */
    void keepsNamesOfQueues()
    {
        const std::map<std::string, int> jobs { { "", 1 }, { "@", 2 }, { "@trueAtMs", 3 }, { "@@x", 4 }, { "jobs", 5 } };
        const auto summary = decodeWaitingSummary(encodeWaitingSummary({ jobs, 17 }));
        CPPUNIT_ASSERT(summary && summary->jobs_ == jobs && summary->trueAtMs_ == 17);
        CPPUNIT_ASSERT(decodeWaitingSummary(R"({"queue":3,"@later":{"x":1}})")->jobsOf("queue") == 3);
        for (const char* const text : { "", "[]", "3", R"({"queue":-1})", R"({"queue":1.5})", R"({"queue":"3"})", R"({"queue":99999999999})", R"({"@trueAtMs":"x"})", R"({"@trueAtMs":18446744073709551615})" })
            CPPUNIT_ASSERT_MESSAGE(text, !decodeWaitingSummary(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingSummaryTest);
