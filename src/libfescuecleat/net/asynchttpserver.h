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

/** Bounds on what a caller may send. */
struct HttpLimits {
    std::uint32_t maxHeaderBytes_ = 16384;
    std::uint64_t maxBodyBytes_ = 262144;
    /** Time to send a whole request once its first byte has arrived. */
    Duration requestTimeLimit_ = std::chrono::seconds(3);
    Duration idleTimeLimit_ = std::chrono::seconds(15);
    std::size_t maxConnections_ = 3000;
};

/** Listens on one address. Answers heads and bodies that can't be read with a typed 4xx. */
class AsyncHttpServer {
public:
    using Respond = std::function<void(ServerResponse)>;
    using Handler = std::function<void(ServerRequest, Respond)>;

    AsyncHttpServer(boost::asio::io_context&, Handler);
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer&) = delete;
    AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

    Result<void> listen(const SocketAddress&);
    void setLimits(const HttpLimits& limits) { limits_ = limits; }
    /** Answers what is in progress, then closes each connection. */
    void drain();
    /** Refuses new connections. */
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
