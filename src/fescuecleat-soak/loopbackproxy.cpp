#include "loopbackproxy.h"

#include "net/timer.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <functional>
#include <utility>

namespace fescuecleat::soak {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

    Tcp::endpoint endpointOf(const SocketAddress& address)
    {
        return { asio::ip::make_address_v4(address.address_), address.port_ };
    }

    /** Closes with a reset instead of an orderly end. */
    void reset(Tcp::socket& socket)
    {
        boost::system::error_code ignored; // the socket is given up in any case
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

}

/** Both connections of one caller through the proxy. */
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection> {
public:
    ProxyConnection(LoopbackProxy& proxy, Tcp::socket caller)
        : proxy_(&proxy)
        , up_(proxy.loop_)
        , down_(proxy.loop_)
        , caller_(std::move(caller))
        , target_(proxy.loop_)
    {
    }

    void start()
    {
        target_.async_connect(proxy_->target_, [self = shared_from_this()](const boost::system::error_code& error) {
            if (error || !self->proxy_)
                return self->resetBoth();
            boost::system::error_code ignored; // the option only improves latency
            self->target_.set_option(Tcp::no_delay(true), ignored);
            self->caller_.set_option(Tcp::no_delay(true), ignored);
            self->read(self->up_);
            self->read(self->down_);
        });
    }

    void modeChanged()
    {
        if (proxy_->mode_ == LinkMode::Reset || hasLost_)
            return resetBoth();
        for (Direction* direction : { &up_, &down_ }) {
            if (std::exchange(direction->isHeld_, false))
                deliver(*direction);
        }
    }

    void abandon()
    {
        proxy_ = nullptr;
        resetBoth();
    }

    bool isOpen() const { return caller_.is_open(); }

private:
    /** One direction of the data, with the piece that was read last; an empty piece is the end. */
    struct Direction {
        explicit Direction(asio::io_context& loop)
            : timer_(loop)
        {
        }

        std::array<char, 65536> buffer_;
        std::size_t size_ = 0;
        bool isHeld_ = false;
        Timer timer_;
    };

    Tcp::socket& source(const Direction& direction) { return &direction == &up_ ? caller_ : target_; }
    Tcp::socket& sink(const Direction& direction) { return &direction == &up_ ? target_ : caller_; }

    void read(Direction& direction)
    {
        source(direction).async_read_some(asio::buffer(direction.buffer_), [self = shared_from_this(), &direction](const boost::system::error_code& error, std::size_t size) {
            if (!self->proxy_ || !self->isOpen())
                return;
            direction.size_ = error ? 0 : size;
            self->deliver(direction);
        });
    }

    void deliver(Direction& direction)
    {
        const LinkMode mode = proxy_->mode_;
        const bool isDropped = mode == (&direction == &up_ ? LinkMode::DropUpstream : LinkMode::DropDownstream);
        if (isDropped && direction.size_ > 0) {
            hasLost_ = true;
            return read(direction);
        }
        if (mode == LinkMode::Silent || isDropped) {
            direction.isHeld_ = true;
            return;
        }
        if (mode != LinkMode::Delay)
            return write(direction);
        direction.timer_.start(proxy_->delay_, [self = shared_from_this(), &direction] {
            if (self->proxy_ && self->isOpen())
                self->write(direction);
        });
    }

    void write(Direction& direction)
    {
        if (direction.size_ == 0)
            return closeBoth();
        asio::async_write(sink(direction), asio::buffer(direction.buffer_.data(), direction.size_), [self = shared_from_this(), &direction](const boost::system::error_code& error, std::size_t) {
            if (!self->proxy_ || !self->isOpen())
                return;
            if (error)
                return self->resetBoth();
            self->read(direction);
        });
    }

    void closeBoth()
    {
        boost::system::error_code ignored; // the connection is given up in any case
        caller_.close(ignored);
        target_.close(ignored);
    }

    void resetBoth()
    {
        reset(caller_);
        reset(target_);
    }

    LoopbackProxy* proxy_;
    Direction up_;
    Direction down_;
    Tcp::socket caller_;
    Tcp::socket target_;
    bool hasLost_ = false;
};

LoopbackProxy::LoopbackProxy(asio::io_context& loop, const SocketAddress& listen, const SocketAddress& target)
    : loop_(loop)
    , acceptor_(loop, endpointOf(listen))
    , target_(endpointOf(target))
{
    accept();
}

LoopbackProxy::~LoopbackProxy()
{
    for (const auto& connection : connections_) {
        if (const auto open = connection.lock())
            open->abandon();
    }
}

void LoopbackProxy::setMode(LinkMode mode, Milliseconds delay)
{
    mode_ = mode;
    delay_ = delay;
    for (const auto& connection : std::vector<std::weak_ptr<ProxyConnection>>(connections_)) {
        if (const auto open = connection.lock())
            open->modeChanged();
    }
}

void LoopbackProxy::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code& error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            std::fprintf(stderr, "fescuecleat-soak: proxy: %s\n", error.message().c_str());
        } else if (mode_ == LinkMode::Reset) {
            reset(socket);
        } else {
            connections_.erase(std::remove_if(connections_.begin(), connections_.end(), [](const auto& connection) { return connection.expired(); }), connections_.end());
            const auto connection = std::make_shared<ProxyConnection>(*this, std::move(socket));
            connections_.push_back(connection);
            connection->start();
        }
        accept();
    });
}

}
