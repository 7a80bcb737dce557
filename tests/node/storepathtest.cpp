#include "net/asynchttpserver.h"
#include "node/failoverrowstore.h"
#include "node/peerrowstore.h"
#include "node/poolfixture.h"

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

/** A peer on the loopback interface that serves or refuses store calls. */
class PeerUnderTest {
public:
    PeerUnderTest(PoolFixture& pool, std::uint16_t port, bool isServing)
        : server_(pool.loop_, [this, &pool](const ServerRequest& request, const AsyncHttpServer::Respond& respond) {
            ++calls_;
            ServerResponse response;
            response.status_ = 503;
            if (!isServing_)
                return respond(std::move(response));
            PeerRowStore::serve(pool.store_, request.body_, respond);
        })
        , endpoint_ { "127.0.0.1", port }
        , isServing_(isServing)
    {
        CPPUNIT_ASSERT(server_.listen(endpoint_).has_value());
    }

    int calls_ = 0;
    AsyncHttpServer server_;
    SocketAddress endpoint_;
    bool isServing_;
};

/** First of the ports used here; other test programs don't use them. */
constexpr std::uint16_t firstPort = 32110;

const std::string binaryValue("\x00\xff\"{\n", 5);

}

/** Tests access to the store over the own path and over peers. */
class StorePathTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StorePathTest);
    CPPUNIT_TEST(failsOverFromRefusingPath);
    CPPUNIT_TEST(doesNotRetryUnknownOutcome);
    CPPUNIT_TEST(keepsPathAfterLostAnswer);
    CPPUNIT_TEST(failsOverFromSilentPathAndBack);
    CPPUNIT_TEST(keepsPathWhenWritesAreRefused);
    CPPUNIT_TEST(refusesWhenBothPathsAreDown);
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
        PeerUnderTest unreachable(pool, firstPort, false);
        PeerUnderTest reachable(pool, firstPort + 1, true);
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
        PeerUnderTest peer(pool, firstPort + 2, true);
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
        PeerUnderTest peer(pool, firstPort + 3, true);
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
