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
const Address fixedResponseAddress { "127.0.0.1", 28472 };

Time deadlineIn(int milliseconds = 3000)
{
    return monotonicNow() + std::chrono::milliseconds(milliseconds);
}

/** Responds with the method, path, body and query of the request. */
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

/** For each connection in turn: reads once, sends a fixed response and closes. Counts the requests. */
class FixedResponseServer {
public:
    FixedResponseServer(std::string answer, int connections)
        : server_(fixedResponseAddress.ip_, fixedResponseAddress.port_)
        , thread_([this, answer = std::move(answer), connections] { run(answer, connections); })
    {
    }
    ~FixedResponseServer() { thread_.join(); }

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

/** Sends bytes and returns all bytes received until the server closes the connection. */
std::string rawExchange(const std::string& bytes)
{
    cxxtools::net::TcpSocket socket(serverAddress.ip_, serverAddress.port_);
    socket.setTimeout(cxxtools::Milliseconds(3000));
    socket.write(bytes.data(), bytes.size());
    std::string answer;
    char buffer[4096];
    try {
        while (!socket.eof()) {
            const std::size_t size = socket.read(buffer, sizeof buffer);
            if (size == 0)
                break;
            answer.append(buffer, size);
        }
    } catch (const std::exception&) {
        // The server may reset the connection after its response.
    }
    return answer;
}

}

/** The HTTP server and client against each other and against misbehaving peers. */
class HttpServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(transfersRequests);
    CPPUNIT_TEST(rejectsAmbiguousFraming);
    CPPUNIT_TEST(keepsServingAfterInvalidInput);
    CPPUNIT_TEST(sendsOnlyOnce);
    CPPUNIT_TEST(rejectsIncompleteResponses);
    CPPUNIT_TEST(reportsRequestsNotSent);
    CPPUNIT_TEST_SUITE_END();

    static HttpServerLimits limits()
    {
        HttpServerLimits limits;
        limits.maxBodyBytes_ = 100000;
        limits.readTimeout_ = std::chrono::milliseconds(500);
        return limits;
    }

    void transfersRequests()
    {
        EchoHandler handler;
        HttpServer server(serverAddress, handler, limits());
        CxxtoolsHttpClient client;
        for (const bool mayReuse : { false, true, true }) {
            HttpRequest request { "POST", "/path", { { "q", "a b&c" } }, {}, std::string(50000, 'x') + "end" };
            const auto answer = client.send(serverAddress, request, deadlineIn(), mayReuse);
            CPPUNIT_ASSERT_MESSAGE(answer ? "" : answer.error().message_, answer);
            CPPUNIT_ASSERT_EQUAL("POST /path " + request.body_ + " q=a b&c", answer->body_);
        }
    }

    void rejectsAmbiguousFraming()
    {
        EchoHandler handler;
        HttpServer server(serverAddress, handler, limits());
        const std::string duplicate = rawExchange("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 30\r\n\r\nabc");
        CPPUNIT_ASSERT_MESSAGE(duplicate, duplicate.find("400") < 20);
        const std::string negative = rawExchange("POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc");
        CPPUNIT_ASSERT_MESSAGE(negative, negative.find("400") < 20);
        const std::string tooLarge = rawExchange("POST / HTTP/1.1\r\nContent-Length: 100001\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(tooLarge, tooLarge.find("413") < 20);
        const std::string chunked = rawExchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(chunked, chunked.find("411") < 20);
    }

    void keepsServingAfterInvalidInput()
    {
        EchoHandler handler;
        HttpServer server(serverAddress, handler, limits());
        rawExchange("garbage\r\n\r\n");
        rawExchange("GET / HTTP/1.1\r\nX: " + std::string(100000, 'y') + "\r\n\r\n");
        rawExchange("POST / HTTP/1.1\r\nContent-Length: 30\r\n\r\nabc");
        CxxtoolsHttpClient client;
        CPPUNIT_ASSERT(client.send(serverAddress, {}, deadlineIn(), false));
    }

    /** The server closes after it has read the request: the client must not send it again. */
    void sendsOnlyOnce()
    {
        FixedResponseServer server("", 1);
        CxxtoolsHttpClient client;
        const auto answer = client.send(fixedResponseAddress, { "POST", "/", {}, {}, "work" }, deadlineIn(500), false);
        CPPUNIT_ASSERT(!answer);
        CPPUNIT_ASSERT(answer.error().failure_ == TransportFailure::NoAnswer);
        CPPUNIT_ASSERT_EQUAL(1, server.requests());
    }

    void rejectsIncompleteResponses()
    {
        for (const char* text : { "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nabc", "HTTP/1.1 200 OK\r\n\r\nabc", "nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Len" }) {
            FixedResponseServer server(text, 1);
            CxxtoolsHttpClient client;
            const auto answer = client.send(fixedResponseAddress, {}, deadlineIn(500), false);
            CPPUNIT_ASSERT_MESSAGE(text, !answer);
            CPPUNIT_ASSERT(answer.error().failure_ == TransportFailure::NoAnswer);
        }
    }

    void reportsRequestsNotSent()
    {
        CxxtoolsHttpClient client;
        const auto answer = client.send({ "127.0.0.1", 28473 }, {}, deadlineIn(), false);
        CPPUNIT_ASSERT(!answer);
        CPPUNIT_ASSERT(answer.error().failure_ == TransportFailure::NotSent);
        CPPUNIT_ASSERT(client.send(fixedResponseAddress, {}, monotonicNow(), false).error().failure_ == TransportFailure::NotSent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);
