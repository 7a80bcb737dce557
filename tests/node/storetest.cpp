#include "base/bootclock.h"
#include "node/poolfixture.h"
#include "node/storelayout.h"
#include "node/tablefollower.h"

#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

/** A job API with a public queue, one that needs a key, and one that needs advice. */
class JobApiUnderTest {
public:
    explicit JobApiUnderTest(PoolFixture& pool)
        : pool_(pool)
        , jobApi_(pool.context_, { [this] { return configuration_; }, [] { return true; }, [] { return nullptr; }, [this](const StoredRow& row) { announced_.push_back(row); } })
    {
        auto configuration = std::make_shared<PoolConfiguration>();
        configuration->version_ = 1;
        QueueConfiguration queue;
        queue.name_ = "queue";
        queue.host_ = "host";
        queue.prefix_ = "/q/";
        queue.isPublic_ = true;
        configuration->queues_.push_back(queue);
        queue.prefix_ = "/keyed/";
        queue.isPublic_ = false;
        configuration->queues_.push_back(queue);
        queue.prefix_ = "/advised/";
        queue.isPublic_ = true;
        queue.needsAdvice_ = true;
        configuration->queues_.push_back(queue);
        configuration->organisations_.push_back({ "org", { "secret" }, 0 });
        configuration_ = configuration;
        recordStoreContact();
    }

    void recordStoreContact()
    {
        const Time now = bootTimeNow();
        pool_.clock_.observe({ 1, 1, now, now });
    }

    ServerResponse call(const std::string& method, const std::string& path, const std::string& body = "{}", const std::string& key = {})
    {
        ServerRequest request;
        request.method_ = method;
        request.path_ = path;
        request.host_ = "host:80";
        request.body_ = body;
        request.authorization_ = key;
        std::optional<ServerResponse> response;
        jobApi_.handle(request, [&response](ServerResponse answer) { response = std::move(answer); });
        CPPUNIT_ASSERT(pool_.runUntil([&response] { return response.has_value(); }));
        return *response;
    }

    const std::vector<StoredRow>& announced() const { return announced_; }

private:
    PoolFixture& pool_;
    std::shared_ptr<const PoolConfiguration> configuration_;
    std::vector<StoredRow> announced_;
    JobApi jobApi_;
};

const std::string path = std::string("/q/") + jobId;

}

/** Tests answers to callers, table followers and the lease while the store fails. */
class StoreTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreTest);
    CPPUNIT_TEST(acceptsStoredJob);
    CPPUNIT_TEST(retriesAfterLostAnswer);
    CPPUNIT_TEST(refusedJobIsNotStored);
    CPPUNIT_TEST(reportsUnknownOutcome);
    CPPUNIT_TEST(refusesTooLargeJobAtOnce);
    CPPUNIT_TEST(repeatedSubmissionIsIdempotent);
    CPPUNIT_TEST(rejectsInvalidRequests);
    CPPUNIT_TEST(answersRequestThatIsNotUtf8);
    CPPUNIT_TEST(cancelsKnownJob);
    CPPUNIT_TEST(submissionAfterItsCancellationStartsNothing);
    CPPUNIT_TEST(readsStateFromStore);
    CPPUNIT_TEST(announcesStoredRows);
    CPPUNIT_TEST(startsAnnouncedJobWhileFeedIsSilent);
    CPPUNIT_TEST(reloadsAfterDroppedHistory);
    CPPUNIT_TEST(readsAllParts);
    CPPUNIT_TEST(deliversPagesOfALoadSeparately);
    CPPUNIT_TEST(takesOverReleasedLease);
    CPPUNIT_TEST(keepsLeaseWhileAnswersAreLost);
    CPPUNIT_TEST(keepsLeaseAfterDelayedRenewal);
    CPPUNIT_TEST_SUITE_END();

    void acceptsStoredJob()
    {
        PoolFixture pool;
        JobApiUnderTest api(pool);
        CPPUNIT_ASSERT_EQUAL(200, api.call("POST", path).status_);
        CPPUNIT_ASSERT(pool.store_.value(intakeTable, jobId).has_value());
    }

    void retriesAfterLostAnswer()
    {
        PoolFixture pool;
        JobApiUnderTest api(pool);
        pool.store_.loseAnswers(1);
        CPPUNIT_ASSERT_EQUAL(200, api.call("POST", path).status_);
    }

    void refusedJobIsNotStored()
    {
        PoolFixture pool;
        JobApiUnderTest api(pool);
        pool.store_.setRefusing(true);
        const ServerResponse response = api.call("POST", path);
        CPPUNIT_ASSERT_EQUAL(503, response.status_);
        CPPUNIT_ASSERT_EQUAL(std::string("Retry-After"), response.headers_.at(0).first);
        pool.store_.setRefusing(false);
        pool.runFor(300ms);
        CPPUNIT_ASSERT_EQUAL(0, pool.store_.applyHeldBack());
        CPPUNIT_ASSERT(!pool.store_.value(intakeTable, jobId).has_value());
    }

    /** A write that may be applied later must not be answered as refused. */
    void reportsUnknownOutcome()
    {
        PoolFixture pool;
        JobApiUnderTest api(pool);
        pool.store_.holdBackCommits(1000);
        CPPUNIT_ASSERT_EQUAL(504, api.call("POST", path).status_);
        CPPUNIT_ASSERT_EQUAL(1, pool.store_.applyHeldBack());
    }

    /** Guards against a submission that is repeated unchanged until its deadline although the store can't take it. */
    void refusesTooLargeJobAtOnce()
    {
        PoolFixture pool;
        JobApiUnderTest api(pool);
        pool.store_.setRowBytes(64);
        CPPUNIT_ASSERT_EQUAL(400, api.call("POST", path).status_);
        CPPUNIT_ASSERT_EQUAL(1, pool.store_.commitsSeen());
        pool.settings_.storeLimits_.rowBytes_ = 64;
        CPPUNIT_ASSERT_EQUAL(413, api.call("POST", path).status_);
        CPPUNIT_ASSERT_EQUAL(1, pool.store_.commitsSeen());
    }

    void repeatedSubmissionIsIdempotent()
    {
        PoolFixture pool;
        JobApiUnderTest api(pool);
        CPPUNIT_ASSERT_EQUAL(200, api.call("POST", path).status_);
        const auto first = pool.store_.value(intakeTable, jobId);
        api.recordStoreContact();
        CPPUNIT_ASSERT_EQUAL(200, api.call("POST", path).status_);
        CPPUNIT_ASSERT(first == pool.store_.value(intakeTable, jobId));
    }

    void rejectsInvalidRequests()
    {
        PoolFixture pool;
        JobApiUnderTest api(pool);
        CPPUNIT_ASSERT_EQUAL(404, api.call("POST", "/other/" + std::string(jobId)).status_);
        CPPUNIT_ASSERT_EQUAL(400, api.call("POST", "/q/short").status_);
        CPPUNIT_ASSERT_EQUAL(400, api.call("POST", path, "bad").status_);
        // A job that would never be scheduled is not accepted.
        CPPUNIT_ASSERT_EQUAL(503, api.call("POST", "/advised/" + std::string(jobId)).status_);
        CPPUNIT_ASSERT_EQUAL(405, api.call("PATCH", path).status_);
        CPPUNIT_ASSERT_EQUAL(401, api.call("POST", "/keyed/" + std::string(jobId)).status_);
        CPPUNIT_ASSERT_EQUAL(200, api.call("POST", "/keyed/" + std::string(jobId), "{}", "secret").status_);
    }

    /** Guards against an exception by the encoding of an error that quotes such a request; it ended the process. */
    void answersRequestThatIsNotUtf8()
    {
        PoolFixture pool;
        JobApiUnderTest api(pool);
        CPPUNIT_ASSERT_EQUAL(400, api.call("POST", path, "bad\xff\xfe").status_);
    }

    /** Guards against a job that runs although its cancellation was answered, while its submission was still being repeated. */
    void submissionAfterItsCancellationStartsNothing()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        const auto scheduler = pool.scheduler("a");
        JobApiUnderTest api(pool);
        CPPUNIT_ASSERT_EQUAL(410, api.call("DELETE", path).status_);
        CPPUNIT_ASSERT_EQUAL(410, api.call("DELETE", path).status_);
        CPPUNIT_ASSERT_EQUAL(410, api.call("GET", path).status_);
        CPPUNIT_ASSERT_EQUAL(200, api.call("POST", path).status_);
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.recordedState(jobId) == PoolJobState::Cancelled; }));
        CPPUNIT_ASSERT_EQUAL(200, api.call("DELETE", path).status_);
        CPPUNIT_ASSERT_EQUAL(std::to_string(static_cast<int>(PoolJobState::Cancelled)), api.call("GET", path).body_);
        pool.runFor(500ms);
        CPPUNIT_ASSERT_EQUAL(0, pool.workers_.startsSeen());
    }

    void cancelsKnownJob()
    {
        PoolFixture pool;
        JobApiUnderTest api(pool);
        CPPUNIT_ASSERT_EQUAL(410, api.call("DELETE", "/q/00000000000000cc").status_);
        CPPUNIT_ASSERT_EQUAL(200, api.call("POST", path).status_);
        CPPUNIT_ASSERT_EQUAL(200, api.call("DELETE", path).status_);
        CPPUNIT_ASSERT_EQUAL(200, api.call("DELETE", path).status_);
        CPPUNIT_ASSERT(pool.store_.value(intakeTable, cancelKey(jobId)).has_value());
    }

    void readsStateFromStore()
    {
        PoolFixture pool;
        JobApiUnderTest api(pool);
        CPPUNIT_ASSERT_EQUAL(410, api.call("GET", path).status_);
        CPPUNIT_ASSERT_EQUAL(200, api.call("POST", path).status_);
        CPPUNIT_ASSERT_EQUAL(std::string("0"), api.call("GET", path).body_);
        pool.store_.put(JobRecorder::table, jobId, encodePoolJobRecord({ PoolJobState::Completed, {} }), schedulerPart);
        CPPUNIT_ASSERT_EQUAL(std::to_string(static_cast<int>(PoolJobState::Completed)), api.call("GET", path).body_);
    }

    /** Only rows that the store has confirmed are announced to the scheduler. */
    void announcesStoredRows()
    {
        PoolFixture pool;
        JobApiUnderTest api(pool);
        CPPUNIT_ASSERT_EQUAL(200, api.call("POST", path).status_);
        CPPUNIT_ASSERT_EQUAL(200, api.call("DELETE", path).status_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), api.announced().size());
        CPPUNIT_ASSERT_EQUAL(std::string(jobId), api.announced()[0].key_);
        CPPUNIT_ASSERT_EQUAL(*pool.store_.value(intakeTable, jobId), api.announced()[0].value_);
        CPPUNIT_ASSERT_EQUAL(cancelKey(jobId), api.announced()[1].key_);
        pool.store_.setRefusing(true);
        CPPUNIT_ASSERT_EQUAL(503, api.call("POST", "/q/00000000000000bb").status_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), api.announced().size());
    }

    /** While the store's feeds deliver no changes, an announced job still starts, and only once. */
    void startsAnnouncedJobWhileFeedIsSilent()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        const auto scheduler = pool.scheduler("a");
        CPPUNIT_ASSERT(pool.runUntil([&] { return scheduler->controller() != nullptr && scheduler->controller()->waitingJobs("queue").has_value(); }));
        pool.runFor(300ms);
        pool.store_.setFeedsSilent(true);
        pool.submit(jobId, oneTask());
        StoredRow row;
        row.key_ = jobId;
        row.value_ = *pool.store_.value(intakeTable, jobId);
        row.version_ = 1;
        scheduler->controller()->handleStoredIntake(row);
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.startCount({ jobId, 0, 0, 0 }) == 1; }, 1s));
        pool.store_.setFeedsSilent(false);
        pool.runFor(300ms);
        CPPUNIT_ASSERT_EQUAL(1, pool.workers_.startCount({ jobId, 0, 0, 0 }));
    }

    void reloadsAfterDroppedHistory()
    {
        PoolFixture pool;
        pool.store_.put("table", "a", "1");
        std::size_t rows = 0;
        int changes = 0;
        TableFollower follower(pool.loop_, pool.store_, pool.clock_, pool.log_, { "table" }, 500ms,
            { [&rows](const std::vector<StoredRow>& all) { rows = all.size(); }, [&changes](const StoredRow&) { ++changes; }, nullptr });
        follower.start();
        CPPUNIT_ASSERT(pool.runUntil([&] { return follower.isLoaded(); }));
        pool.store_.put("table", "b", "2");
        CPPUNIT_ASSERT(pool.runUntil([&] { return changes == 1; }));
        pool.store_.put("table", "c", "3");
        pool.store_.dropHistory();
        CPPUNIT_ASSERT(pool.runUntil([&] { return rows == 3; }));
        CPPUNIT_ASSERT_EQUAL(2, pool.store_.fullReads("table"));
    }

    /** The rows of all followed parts are read at the start, and no others. */
    void readsAllParts()
    {
        PoolFixture pool;
        pool.store_.put("table", "a", "1", "x");
        pool.store_.put("table", "b", "2", "y");
        pool.store_.put("table", "c", "3", "other");
        std::set<std::string> keys;
        TableFollower follower(pool.loop_, pool.store_, pool.clock_, pool.log_, { "table", { "x", "y" } }, 500ms,
            { [&keys](const std::vector<StoredRow>& all) {
                 for (const StoredRow& row : all)
                     keys.insert(row.key_);
             },
                nullptr, nullptr });
        follower.start();
        CPPUNIT_ASSERT(pool.runUntil([&] { return follower.isLoaded(); }));
        CPPUNIT_ASSERT(keys == std::set<std::string>({ "a", "b" }));
    }

    /** Guards against handling a large table in one go, during which the lease can't be renewed. */
    void deliversPagesOfALoadSeparately()
    {
        PoolFixture pool;
        pool.store_.setPageRows(10);
        for (int i = 10; i < 45; ++i)
            pool.store_.put("table", std::to_string(i), "value", i < 30 ? "x" : "y");
        std::map<int, int> rowsByServed;
        int served = 0;
        const std::function<void()> serve = [&] {
            ++served;
            boost::asio::post(pool.loop_, serve);
        };
        serve();
        bool isReset = false;
        TableFollower follower(pool.loop_, pool.store_, pool.clock_, pool.log_, { "table", { "x", "y" } }, 500ms,
            { [&isReset](const std::vector<StoredRow>& rows) { isReset = rows.empty(); }, nullptr, nullptr,
                [&](const StoredRow&) { ++rowsByServed[served]; } });
        follower.start();
        CPPUNIT_ASSERT(pool.runUntil([&] { return follower.isLoaded(); }));
        CPPUNIT_ASSERT(isReset);
        // Other events are served between any two pages.
        std::vector<int> pages;
        pages.reserve(rowsByServed.size());
        for (const auto& [events, rows] : rowsByServed)
            pages.push_back(rows);
        CPPUNIT_ASSERT(pages == std::vector<int>({ 10, 10, 10, 5 }));
    }

    /** A renewal whose answer is lost is recognised by the lease row. */
    void keepsLeaseWhileAnswersAreLost()
    {
        PoolFixture pool;
        const auto first = pool.scheduler("a");
        CPPUNIT_ASSERT(pool.runUntil([&] { return first->controller() != nullptr; }));
        const auto second = pool.scheduler("b");
        pool.store_.loseAnswers(1000);
        CPPUNIT_ASSERT(!pool.runUntil([&] { return first->controller() == nullptr || second->controller() != nullptr; }, 5s));
    }

    /** A renewal that the store delays by seconds is sent again in time. */
    void keepsLeaseAfterDelayedRenewal()
    {
        PoolFixture pool;
        const auto first = pool.scheduler("a");
        CPPUNIT_ASSERT(pool.runUntil([&] { return first->controller() != nullptr; }));
        const auto second = pool.scheduler("b");
        pool.store_.setCommitDelay(4s);
        pool.runFor(700ms);
        pool.store_.setCommitDelay(0s);
        CPPUNIT_ASSERT(!pool.runUntil([&] { return first->controller() == nullptr || second->controller() != nullptr; }, 6s));
    }

    void takesOverReleasedLease()
    {
        PoolFixture pool;
        const auto first = pool.scheduler("a");
        CPPUNIT_ASSERT(pool.runUntil([&] { return first->controller() != nullptr; }));
        const auto second = pool.scheduler("b");
        pool.runFor(500ms);
        CPPUNIT_ASSERT(second->controller() == nullptr);
        bool isReleased = false;
        first->lease().release([&isReleased] { isReleased = true; });
        CPPUNIT_ASSERT(pool.runUntil([&] { return isReleased && second->controller() != nullptr; }));
        CPPUNIT_ASSERT(first->controller() == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreTest);
