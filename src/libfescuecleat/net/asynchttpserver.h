#pragma once

#include "base/time.h"
#include "net/asynchttpmessage.h"
#include "net/socketaddress.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace fescuecleat {

class HttpSession;

/** Limits on requests and connections. */
struct HttpLimits {
    std::uint32_t maxHeaderBytes_ = 16384;
    std::uint64_t maxBodyBytes_ = 262144;
    /** Time for receiving a whole request after its first byte. */
    Duration requestTimeout_ = std::chrono::seconds(3);
    Duration idleTimeout_ = std::chrono::seconds(15);
    std::size_t maxConnections_ = 3000;
};

/**
 * HTTP server on one address. Answers malformed or oversized requests with a 4xx status, and
 * requests whose handler drops the callback unused with 500.
 */
class AsyncHttpServer {
public:
    using Respond = std::function<void(ServerResponse)>;
    using Handler = std::function<void(ServerRequest, Respond)>;

    AsyncHttpServer(boost::asio::io_context&, Handler);
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer&) = delete;
    AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

    /** Starts accepting connections; fails if the address can't be bound. */
    Result<void> listen(const SocketAddress&);
    void setLimits(const HttpLimits& limits) { limits_ = limits; }
    /** Closes idle connections, and the others after their current answer. */
    void drain();
    /** Stops accepting connections. */
    void stopListening();

    std::size_t requestsInProgress() const { return requestsInProgress_; }

private:
    friend class HttpSession;
    void accept();

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    Handler handler_;
    HttpLimits limits_;
    std::set<std::shared_ptr<HttpSession>> sessions_;
    std::size_t requestsInProgress_ = 0;
    bool isDraining_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
