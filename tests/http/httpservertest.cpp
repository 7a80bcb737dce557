#include "http/httpserver.h"
#include "http/cxxtoolshttpclient.h"
#include "http/httphandler.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>
#include <string>
#include <thread>

using namespace fescuecleat;

namespace {

const Address serverAddress { "127.0.0.1", 28471 };
const Address plainAddress { "127.0.0.1", 28472 };

Time soon(int milliseconds = 3000)
{
    return monotonicNow() + std::chrono::milliseconds(milliseconds);
}

/** Answers with what it was asked. */
class EchoHandler : public HttpHandler {
public:
    HttpResponse handle(const HttpRequest& request) override
    {
        HttpResponse response;
        response.body_ = request.method_ + " " + request.path_ + " " + request.body_;
        for (const auto& [name, value] : request.query_)
            response.body_ += " " + name + "=" + value;
        return response;
    }
};

/** Accepts connections one after the other, reads once, answers a fixed text, closes; counts the requests. */
class PlainServer {
public:
    PlainServer(std::string answer, int connections)
        : server_(plainAddress.ip_, plainAddress.port_)
        , thread_([this, answer = std::move(answer), connections] { run(answer, connections); })
    {
    }
    ~PlainServer() { thread_.join(); }

    int requests() const { return requests_; }

private:
    void run(const std::string& answer, int connections)
    {
        for (int i = 0; i < connections; ++i) {
            cxxtools::net::TcpSocket socket(server_);
            char buffer[4096];
            if (socket.read(buffer, sizeof buffer) > 0)
                ++requests_;
            if (!answer.empty())
                socket.write(answer.data(), answer.size());
            socket.close();
        }
    }

    cxxtools::net::TcpServer server_;
    std::atomic<int> requests_ { 0 };
    std::thread thread_;
};

/** Sends bytes and returns what comes until the server closes. */
std::string rawExchange(const std::string& bytes)
{
    cxxtools::net::TcpSocket socket(serverAddress.ip_, serverAddress.port_);
    socket.setTimeout(cxxtools::Milliseconds(3000));
    socket.write(bytes.data(), bytes.size());
    std::string answer;
    char buffer[4096];
    try {
        while (!socket.eof()) {
            const std::size_t got = socket.read(buffer, sizeof buffer);
            if (got == 0)
                break;
            answer.append(buffer, got);
        }
    } catch (const std::exception&) {
        // The server may reset the connection after its answer.
    }
    return answer;
}

}

/** The HTTP server and client against each other and against hostile peers. */
class HttpServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(carriesRequests);
    CPPUNIT_TEST(refusesAmbiguousFraming);
    CPPUNIT_TEST(staysUpAfterGarbage);
    CPPUNIT_TEST(neverResends);
    CPPUNIT_TEST(refusesPartialAnswers);
    CPPUNIT_TEST(tellsWhatWasNotSent);
    CPPUNIT_TEST_SUITE_END();

    static HttpServerLimits limits()
    {
        HttpServerLimits limits;
        limits.bodyBytes_ = 100000;
        limits.readTime_ = std::chrono::milliseconds(500);
        return limits;
    }

    void carriesRequests()
    {
        EchoHandler handler;
        HttpServer server(serverAddress, handler, limits());
        CxxtoolsHttpClient client;
        for (const bool mayReuse : { false, true, true }) {
            HttpRequest request { "POST", "/path", { { "q", "a b&c" } }, {}, std::string(50000, 'x') + "end" };
            const auto answer = client.send(serverAddress, request, soon(), mayReuse);
            CPPUNIT_ASSERT_MESSAGE(answer ? "" : answer.error().message_, answer);
            CPPUNIT_ASSERT_EQUAL("POST /path " + request.body_ + " q=a b&c", answer->body_);
        }
    }

    void refusesAmbiguousFraming()
    {
        EchoHandler handler;
        HttpServer server(serverAddress, handler, limits());
        const std::string twice = rawExchange("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 30\r\n\r\nabc");
        CPPUNIT_ASSERT_MESSAGE(twice, twice.find("400") < 20);
        const std::string negative = rawExchange("POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc");
        CPPUNIT_ASSERT_MESSAGE(negative, negative.find("400") < 20);
        const std::string large = rawExchange("POST / HTTP/1.1\r\nContent-Length: 100001\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(large, large.find("413") < 20);
        const std::string chunked = rawExchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(chunked, chunked.find("411") < 20);
    }

    void staysUpAfterGarbage()
    {
        EchoHandler handler;
        HttpServer server(serverAddress, handler, limits());
        rawExchange("garbage\r\n\r\n");
        rawExchange("GET / HTTP/1.1\r\nX: " + std::string(100000, 'y') + "\r\n\r\n");
        rawExchange("POST / HTTP/1.1\r\nContent-Length: 30\r\n\r\nabc");
        CxxtoolsHttpClient client;
        CPPUNIT_ASSERT(client.send(serverAddress, {}, soon(), false));
    }

    /** The peer reads the request and closes: it must have seen it exactly once. */
    void neverResends()
    {
        PlainServer server("", 1);
        CxxtoolsHttpClient client;
        const auto answer = client.send(plainAddress, { "POST", "/", {}, {}, "work" }, soon(500), false);
        CPPUNIT_ASSERT(!answer);
        CPPUNIT_ASSERT(answer.error().failure_ == TransportFailure::NoAnswer);
        CPPUNIT_ASSERT_EQUAL(1, server.requests());
    }

    void refusesPartialAnswers()
    {
        for (const char* text : { "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nabc", "HTTP/1.1 200 OK\r\n\r\nabc", "nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Len" }) {
            PlainServer server(text, 1);
            CxxtoolsHttpClient client;
            const auto answer = client.send(plainAddress, {}, soon(500), false);
            CPPUNIT_ASSERT_MESSAGE(text, !answer);
            CPPUNIT_ASSERT(answer.error().failure_ == TransportFailure::NoAnswer);
        }
    }

    void tellsWhatWasNotSent()
    {
        CxxtoolsHttpClient client;
        const auto answer = client.send({ "127.0.0.1", 28473 }, {}, soon(), false);
        CPPUNIT_ASSERT(!answer);
        CPPUNIT_ASSERT(answer.error().failure_ == TransportFailure::NotSent);
        CPPUNIT_ASSERT(client.send(plainAddress, {}, monotonicNow(), false).error().failure_ == TransportFailure::NotSent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);
