#include "net/asynchttpserver.h"
#include "net/eventloop.h"
#include "node/poolfixture.h"
#include "support/ports.h"

#include <cppunit/extensions/HelperMacros.h>
#include <stdexcept>

using namespace fescuecleat;
using namespace std::chrono_literals;

/** Tests that an exception concerns only the request or row that caused it. */
class ExceptionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ExceptionTest);
    CPPUNIT_TEST(failedRequestIsAnswered);
    CPPUNIT_TEST(failedRowConcernsNoOther);
    CPPUNIT_TEST_SUITE_END();

    /** Guards against a request that ends the process, or that its caller waits for in vain. */
    void failedRequestIsAnswered()
    {
        PoolFixture pool;
        std::vector<std::string> causes;
        Timer timer(pool.loop_);
        const SocketAddress endpoint { "127.0.0.1", test::freePort() };
        AsyncHttpServer server(pool.loop_, [&timer](const ServerRequest& request, const AsyncHttpServer::Respond& respond) {
            if (request.path_ == "/throw")
                throw std::runtime_error("now");
            if (request.path_ == "/throw-later")
                return timer.start(10ms, [respond] { throw std::runtime_error("later"); });
            respond({});
        });
        CPPUNIT_ASSERT(server.listen(endpoint).has_value());
        AsyncHttpClient client(pool.loop_);
        const auto statusOf = [&](const std::string& path) {
            int status = 0;
            client.call(endpoint, "test", { "GET", path, {}, "" }, 2s, [&](const tl::expected<HttpAnswer, HttpFailure>& answer) {
                status = answer ? answer->status_ : -1;
                pool.loop_.stop();
            });
            pool.loop_.restart();
            runEventLoop(pool.loop_, [&causes](const std::string& cause) { causes.push_back(cause); });
            return status;
        };
        CPPUNIT_ASSERT_EQUAL(500, statusOf("/throw"));
        timer.cancel();
        CPPUNIT_ASSERT_EQUAL(500, statusOf("/throw-later"));
        CPPUNIT_ASSERT_EQUAL(200, statusOf("/"));
        CPPUNIT_ASSERT(causes == std::vector<std::string>({ "now", "later" }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.requestsInProgress());
    }

    /** Guards against a table that is no longer followed because of one of its rows. */
    void failedRowConcernsNoOther()
    {
        PoolFixture pool;
        std::vector<std::string> rows;
        const auto receive = [&rows](const StoredRow& row) {
            if (row.value_ == "bad")
                throw std::runtime_error("bad row");
            rows.push_back(row.key_);
        };
        for (const char* key : { "a", "b", "c" })
            pool.store_.put("table", key, std::string(key) == "b" ? "bad" : "good");
        TableFollower follower(pool.loop_, pool.store_, pool.clock_, pool.log_, { "table" }, 500ms, { [](const std::vector<StoredRow>&) {}, receive, nullptr, receive });
        follower.start();
        CPPUNIT_ASSERT(pool.runUntil([&] { return follower.isLoaded(); }));
        pool.store_.put("table", "d", "bad");
        pool.store_.put("table", "e", "good");
        CPPUNIT_ASSERT(pool.runUntil([&] { return rows == std::vector<std::string>({ "a", "c", "e" }); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExceptionTest);
