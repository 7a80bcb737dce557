#pragma once

#include "base/time.h"
#include "net/asynchttpmessage.h"
#include "net/socketaddress.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace fescuecleat {

class HttpConnection;

/**
 * HTTP client with persistent connections. Each call has a timeout and is sent
 * at most once. A connection is closed when it fails or a call times out.
 */
class AsyncHttpClient {
public:
    using Handler = std::function<void(tl::expected<HttpAnswer, HttpFailure>)>;

    explicit AsyncHttpClient(boost::asio::io_context&);
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient&) = delete;
    AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

    /**
     * Calls the peer and passes the answer or the failure to the handler. Idle connections
     * are reused only within their group, which keeps long polls apart from short calls.
     */
    void call(const SocketAddress&, const std::string& connectionGroup, HttpCall, Duration timeout, Handler);

    std::uint64_t connectionsOpened() const { return connectionsOpened_; }

private:
    friend class HttpConnection;
    using Key = std::pair<SocketAddress, std::string>;

    boost::asio::io_context& context_;
    std::map<Key, std::vector<std::shared_ptr<HttpConnection>>> idle_;
    std::uint64_t connectionsOpened_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
