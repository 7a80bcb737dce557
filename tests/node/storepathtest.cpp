#include "net/asynchttpserver.h"
#include "node/failoverrowstore.h"
#include "node/peerrowstore.h"
#include "node/poolfixture.h"
#include "node/storelayout.h"
#include "support/ports.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

/** An own path and a peers' path to the store whose failures are injected separately. */
class PathsUnderTest {
public:
    PathsUnderTest()
        : failover_(pool_.loop_, own_, peers_, pool_.log_)
    {
    }

    tl::expected<StoreTimestamp, StoreFailure> commit()
    {
        std::optional<tl::expected<StoreTimestamp, StoreFailure>> outcome;
        RowTransaction transaction;
        transaction.writes_.push_back({ "table", "key", "value" });
        failover_.commit(std::move(transaction), 500ms, [&outcome](auto result) { outcome = std::move(result); });
        CPPUNIT_ASSERT(pool_.runUntil([&outcome] { return outcome.has_value(); }));
        return *outcome;
    }

    PoolFixture pool_;
    FakeRowStore own_ { pool_.loop_ };
    FakeRowStore peers_ { pool_.loop_ };
    FailoverRowStore failover_;
};

/** The path over a peer, which refuses calls while its own path is down. */
class PeerPath : public RowStore {
public:
    PeerPath(RowStore& store, const FailoverRowStore*& peer)
        : store_(store)
        , peer_(peer)
    {
    }

    void commit(RowTransaction transaction, Duration timeout, CommitHandler handler) override
    {
        if (!peer_->isOwnPathUp())
            return handler(refused());
        store_.commit(std::move(transaction), timeout, std::move(handler));
    }

    void read(const RowRange& range, Duration timeout, PageHandler handler) override
    {
        if (!peer_->isOwnPathUp())
            return handler(refused());
        store_.read(range, timeout, std::move(handler));
    }

    void follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeout, PageHandler handler) override
    {
        if (!peer_->isOwnPathUp())
            return handler(refused());
        store_.follow(table, after, wait, timeout, std::move(handler));
    }

private:
    static tl::unexpected<StoreFailure> refused() { return tl::unexpected<StoreFailure>({ StoreFailureKind::Refused, {}, "no peer reaches the store" }); }

    RowStore& store_;
    const FailoverRowStore*& peer_;
};

/** Two instances that share a store, follow a table of it and have each other as peers. */
class InstancesUnderTest {
public:
    InstancesUnderTest()
    {
        for (const auto& follower : { &firstFollower_, &secondFollower_ })
            follower->start();
        pool_.runFor(50ms);
    }

    bool commitsIn(const std::string& part)
    {
        RowTransaction transaction;
        transaction.part_ = part;
        transaction.writes_.push_back({ "table", "key-" + part, "value" });
        std::optional<bool> isDone;
        first_.commit(std::move(transaction), 500ms, [&isDone](const auto& outcome) { isDone = outcome.has_value(); });
        CPPUNIT_ASSERT(pool_.runUntil([&isDone] { return isDone.has_value(); }));
        return *isDone;
    }

    PoolFixture pool_;
    const FailoverRowStore* firstPeer_ = &second_;
    const FailoverRowStore* secondPeer_ = &first_;
    PeerPath overSecond_ { pool_.store_, firstPeer_ };
    PeerPath overFirst_ { pool_.store_, secondPeer_ };
    FailoverRowStore first_ { pool_.loop_, pool_.store_, overSecond_, pool_.log_ };
    FailoverRowStore second_ { pool_.loop_, pool_.store_, overFirst_, pool_.log_ };
    TableFollower firstFollower_ { pool_.loop_, first_, pool_.clock_, pool_.log_, { "lease", { schedulerPart } }, 100ms, {} };
    TableFollower secondFollower_ { pool_.loop_, second_, pool_.clock_, pool_.log_, { "lease", { schedulerPart } }, 100ms, {} };
};

/** A peer on the loopback interface that serves or refuses store calls. */
class PeerUnderTest {
public:
    PeerUnderTest(PoolFixture& pool, bool isServing)
        : server_(pool.loop_, [this, &pool](const ServerRequest& request, const AsyncHttpServer::Respond& respond) {
            ++calls_;
            ServerResponse response;
            response.status_ = 503;
            if (!isServing_)
                return respond(std::move(response));
            PeerRowStore::serve(pool.store_, request.body_, respond);
        })
        , endpoint_ { "127.0.0.1", test::freePort() }
        , isServing_(isServing)
    {
        CPPUNIT_ASSERT(server_.listen(endpoint_).has_value());
    }

    int calls_ = 0;
    AsyncHttpServer server_;
    SocketAddress endpoint_;
    bool isServing_;
};

const std::string binaryValue("\x00\xff\"{\n", 5);

}

/** Tests access to the store over the own path and over peers. */
class StorePathTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StorePathTest);
    CPPUNIT_TEST(failsOverFromRefusingPath);
    CPPUNIT_TEST(doesNotRetryUnknownOutcome);
    CPPUNIT_TEST(keepsPathAfterLostAnswer);
    CPPUNIT_TEST(failsOverFromSilentPathAndBack);
    CPPUNIT_TEST(reportsAnswersOfEitherPath);
    CPPUNIT_TEST(keepsPathWhenWritesAreRefused);
    CPPUNIT_TEST(refusesWhenBothPathsAreDown);
    CPPUNIT_TEST(servesOtherPartsWhileOneIsUnavailable);
    CPPUNIT_TEST(servesAPartAgainOnceItIsAvailable);
    CPPUNIT_TEST(encodesBinaryValues);
    CPPUNIT_TEST(rejectsMalformedCalls);
    CPPUNIT_TEST(triesNextPeerAfterRefusal);
    CPPUNIT_TEST(forwardsConflictThroughPeer);
    CPPUNIT_TEST(forwardsFeedThroughPeer);
    CPPUNIT_TEST_SUITE_END();

    void failsOverFromRefusingPath()
    {
        PathsUnderTest paths;
        paths.own_.setRefusing(true);
        CPPUNIT_ASSERT(!paths.commit().has_value());
        CPPUNIT_ASSERT(paths.pool_.runUntil([&paths] { return !paths.failover_.isOwnPathUp(); }));
        CPPUNIT_ASSERT(paths.commit().has_value());
        CPPUNIT_ASSERT(paths.peers_.value("table", "key").has_value());
        CPPUNIT_ASSERT(!paths.own_.value("table", "key").has_value());
    }

    /** A write without an answer may have been applied, so only the caller may repeat it. */
    void doesNotRetryUnknownOutcome()
    {
        PathsUnderTest paths;
        paths.own_.holdBackCommits(1);
        const auto outcome = paths.commit();
        CPPUNIT_ASSERT(!outcome && outcome.error().kind_ == StoreFailureKind::OutcomeUnknown);
        CPPUNIT_ASSERT_EQUAL(0, paths.peers_.commitsSeen());
    }

    void keepsPathAfterLostAnswer()
    {
        PathsUnderTest paths;
        paths.own_.loseAnswers(1);
        CPPUNIT_ASSERT(!paths.commit().has_value());
        paths.pool_.runFor(50ms);
        CPPUNIT_ASSERT(paths.failover_.isOwnPathUp());
        CPPUNIT_ASSERT(paths.commit().has_value());
        CPPUNIT_ASSERT_EQUAL(0, paths.peers_.commitsSeen());
    }

    void failsOverFromSilentPathAndBack()
    {
        PathsUnderTest paths;
        paths.own_.setSilent(true);
        CPPUNIT_ASSERT(!paths.commit().has_value());
        CPPUNIT_ASSERT(paths.pool_.runUntil([&paths] { return !paths.failover_.isOwnPathUp(); }));
        CPPUNIT_ASSERT(paths.commit().has_value());
        CPPUNIT_ASSERT_EQUAL(1, paths.peers_.commitsSeen());
        paths.own_.setSilent(false);
        CPPUNIT_ASSERT(paths.pool_.runUntil([&paths] { return paths.failover_.isOwnPathUp(); }));
        CPPUNIT_ASSERT(paths.commit().has_value());
        CPPUNIT_ASSERT_EQUAL(1, paths.peers_.commitsSeen());
    }

    /** Guards against a lease holder that isn't told that the store answers again, whichever way the answer came. */
    void reportsAnswersOfEitherPath()
    {
        PathsUnderTest paths;
        int answers = 0;
        paths.failover_.setAnswerListener([&answers] { ++answers; });
        CPPUNIT_ASSERT(paths.commit().has_value());
        CPPUNIT_ASSERT_EQUAL(1, answers);
        paths.own_.setSilent(true);
        CPPUNIT_ASSERT(!paths.commit().has_value());
        CPPUNIT_ASSERT(paths.pool_.runUntil([&paths] { return !paths.failover_.isOwnPathUp(); }));
        CPPUNIT_ASSERT_EQUAL(1, answers);
        CPPUNIT_ASSERT(paths.commit().has_value());
        CPPUNIT_ASSERT_EQUAL(1, paths.peers_.commitsSeen());
        CPPUNIT_ASSERT_EQUAL(2, answers);
    }

    /** A slow store refuses writes of every instance; sending them over peers as well would only add load. */
    void keepsPathWhenWritesAreRefused()
    {
        PathsUnderTest paths;
        paths.own_.setRefusingWrites(true);
        for (int i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT(!paths.commit().has_value());
            paths.pool_.runFor(20ms);
        }
        CPPUNIT_ASSERT(paths.failover_.isOwnPathUp());
        CPPUNIT_ASSERT_EQUAL(0, paths.peers_.commitsSeen());
    }

    void refusesWhenBothPathsAreDown()
    {
        PathsUnderTest paths;
        paths.own_.setRefusing(true);
        paths.peers_.setRefusing(true);
        const auto outcome = paths.commit();
        CPPUNIT_ASSERT(!outcome && outcome.error().kind_ == StoreFailureKind::Refused);
    }

    /**
     * Guards against judging the whole path by one part: while one part was unavailable, each of the instances
     * took its path for down and left its calls to the others, so that none reached the store.
     */
    void servesOtherPartsWhileOneIsUnavailable()
    {
        for (const std::string& part : storeParts()) {
            InstancesUnderTest test;
            test.pool_.store_.setRefusedParts({ part });
            test.pool_.store_.setRefusingFeeds(true);
            test.pool_.runFor(300ms);
            test.pool_.store_.setRefusingFeeds(false);
            test.pool_.runFor(100ms);
            for (const std::string& other : storeParts())
                CPPUNIT_ASSERT_EQUAL_MESSAGE("'" + part + "' is unavailable, commit in '" + other + "'", part != other, test.commitsIn(other));
            CPPUNIT_ASSERT(test.first_.isOwnPathUp() && test.second_.isOwnPathUp());
        }
    }

    /** With most parts unavailable, the probes may all fail; what is served must still be reached, and be regained. */
    void servesAPartAgainOnceItIsAvailable()
    {
        InstancesUnderTest test;
        std::set<std::string> refused;
        for (const std::string& part : storeParts())
            refused.insert(part);
        test.pool_.store_.setRefusedParts(refused);
        test.pool_.store_.setRefusingFeeds(true);
        CPPUNIT_ASSERT(test.pool_.runUntil([&] { return !test.first_.isOwnPathUp() && !test.second_.isOwnPathUp(); }));
        refused.erase(schedulerPart);
        test.pool_.store_.setRefusedParts(refused);
        test.pool_.runFor(450ms);
        CPPUNIT_ASSERT(test.commitsIn(schedulerPart));
    }

    void encodesBinaryValues()
    {
        RowTransaction transaction;
        transaction.part_ = "p";
        transaction.expectations_.push_back({ "t", "k", 7 });
        transaction.writes_.push_back({ "t", "k", binaryValue });
        transaction.deletions_.push_back({ "t", "gone" });
        const auto call = decodeStoreCall(encodeStoreCall({ CommitCall { transaction }, 300ms }));
        CPPUNIT_ASSERT(call.has_value() && call->timeout_ == Duration(300ms));
        const RowTransaction& decoded = std::get<CommitCall>(call->call_).transaction_;
        CPPUNIT_ASSERT_EQUAL(std::string("p"), decoded.part_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), decoded.expectations_.at(0).version_);
        CPPUNIT_ASSERT_EQUAL(binaryValue, decoded.writes_.at(0).value_);
        CPPUNIT_ASSERT_EQUAL(std::string("gone"), decoded.deletions_.at(0).key_);

        RowPage page;
        page.rows_.push_back({ "k", binaryValue, 9, true });
        page.hasMore_ = true;
        page.timestamp_.clockMs_ = 12;
        const auto outcome = decodeStoreOutcome(encodeStoreOutcome(page));
        CPPUNIT_ASSERT(outcome.has_value() && outcome->has_value());
        CPPUNIT_ASSERT_EQUAL(binaryValue, (*outcome)->rows_.at(0).value_);
        CPPUNIT_ASSERT((*outcome)->rows_.at(0).isDeleted_ && (*outcome)->hasMore_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(12), (*outcome)->timestamp_.clockMs_);

        const auto failure = decodeStoreOutcome(encodeStoreOutcome(tl::unexpected<StoreFailure>({ StoreFailureKind::HistoryGone, {}, "gone" })));
        CPPUNIT_ASSERT(failure.has_value() && !failure->has_value());
        CPPUNIT_ASSERT(failure->error().kind_ == StoreFailureKind::HistoryGone);
    }

    void rejectsMalformedCalls()
    {
        CPPUNIT_ASSERT(!decodeStoreCall("").has_value());
        CPPUNIT_ASSERT(!decodeStoreCall("{}").has_value());
        CPPUNIT_ASSERT(!decodeStoreOutcome(binaryValue).has_value());
        const std::string call = encodeStoreCall({ ReadCall { { "t", "p", "a", "b" } }, 300ms });
        for (std::size_t length = 0; length < call.size(); ++length)
            CPPUNIT_ASSERT(!decodeStoreCall(call.substr(0, length)).has_value());
    }

    void triesNextPeerAfterRefusal()
    {
        PoolFixture pool;
        pool.store_.put("table", "key", "value");
        PeerUnderTest unreachable(pool, false);
        PeerUnderTest reachable(pool, true);
        AsyncHttpClient client(pool.loop_);
        PeerRowStore peers(client);
        std::vector<SocketAddress> failed;
        peers.setDirectory({ [&] { return std::vector<SocketAddress> { unreachable.endpoint_, reachable.endpoint_ }; },
            [&failed](const SocketAddress& peer, bool hasAnswered) {
                if (!hasAnswered)
                    failed.push_back(peer);
            } });
        std::optional<StoreOutcome> page;
        peers.read({ "table", {}, {}, {} }, 1s, [&page](StoreOutcome outcome) { page = std::move(outcome); });
        CPPUNIT_ASSERT(pool.runUntil([&page] { return page.has_value(); }));
        CPPUNIT_ASSERT(page->has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("value"), (*page)->rows_.at(0).value_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), failed.size());
        CPPUNIT_ASSERT(failed.front() == unreachable.endpoint_);
    }

    void forwardsConflictThroughPeer()
    {
        PoolFixture pool;
        pool.store_.put("table", "key", "theirs");
        PeerUnderTest peer(pool, true);
        AsyncHttpClient client(pool.loop_);
        PeerRowStore peers(client);
        peers.setDirectory({ [&] { return std::vector<SocketAddress> { peer.endpoint_ }; }, [](const SocketAddress&, bool) {} });
        RowTransaction transaction;
        transaction.expectations_.push_back({ "table", "key", 0 });
        transaction.writes_.push_back({ "table", "key", "ours" });
        std::optional<tl::expected<StoreTimestamp, StoreFailure>> outcome;
        peers.commit(std::move(transaction), 1s, [&outcome](auto result) { outcome = std::move(result); });
        CPPUNIT_ASSERT(pool.runUntil([&outcome] { return outcome.has_value(); }));
        CPPUNIT_ASSERT(!outcome->has_value() && outcome->error().kind_ == StoreFailureKind::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("theirs"), outcome->error().rows_.at(0).value_);
    }

    void forwardsFeedThroughPeer()
    {
        PoolFixture pool;
        PeerUnderTest peer(pool, true);
        AsyncHttpClient client(pool.loop_);
        PeerRowStore peers(client);
        peers.setDirectory({ [&] { return std::vector<SocketAddress> { peer.endpoint_ }; }, [](const SocketAddress&, bool) {} });
        std::optional<StoreOutcome> page;
        peers.follow("table", 0, 2s, 3s, [&page](StoreOutcome outcome) { page = std::move(outcome); });
        pool.runFor(50ms);
        CPPUNIT_ASSERT(!page.has_value());
        pool.store_.put("table", "key", "value");
        CPPUNIT_ASSERT(pool.runUntil([&page] { return page.has_value(); }));
        CPPUNIT_ASSERT(page->has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("key"), (*page)->rows_.at(0).key_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StorePathTest);
