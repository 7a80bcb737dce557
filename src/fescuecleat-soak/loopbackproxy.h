#pragma once

#include "net/socketaddress.h"
#include "soakschedule.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

namespace fescuecleat::soak {

class ProxyConnection;

/**
 * One link over TCP whose faults can be changed at any time. Held back data arrives when the
 * link is mended; a connection that lost data is then reset, as a byte stream has no gaps.
 */
class LoopbackProxy {
public:
    /** Throws boost::system::system_error if it can't listen. */
    LoopbackProxy(boost::asio::io_context&, const SocketAddress& listen, const SocketAddress& target);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy&) = delete;
    LoopbackProxy& operator=(const LoopbackProxy&) = delete;

    /** `delay` matters for LinkMode::Delay only. */
    void setMode(LinkMode, Milliseconds delay = {});

private:
    friend class ProxyConnection;
    using Tcp = boost::asio::ip::tcp;

    void accept();

    boost::asio::io_context& loop_;
    Tcp::acceptor acceptor_;
    Tcp::endpoint target_;
    LinkMode mode_ = LinkMode::Forward;
    Milliseconds delay_ {};
    std::vector<std::weak_ptr<ProxyConnection>> connections_;
};

}
