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
 * Calls peers over kept connections, each call with a time limit. Never sends a
 * call twice. A connection that fails or times out is closed.
 */
class AsyncHttpClient {
public:
    using Handler = std::function<void(tl::expected<HttpAnswer, HttpFailure>)>;

    explicit AsyncHttpClient(boost::asio::io_context&);
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient&) = delete;
    AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

    /** Calls the peer. `lane` keeps long calls and short ones on connections of their own. */
    void call(const SocketAddress&, const std::string& lane, HttpCall, Duration timeLimit, Handler);

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
