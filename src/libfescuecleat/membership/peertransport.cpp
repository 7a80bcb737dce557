#include "membership/peertransport.h"

#include "membership/peercodec.h"

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <sodium.h>
#include <string>
#include <zmq.hpp>

namespace fescuecleat {

namespace {

    constexpr const char* authenticationAddress = "inproc://zeromq.zap.01";
    constexpr const char* wakeAddress = "inproc://wake";
    constexpr std::size_t keyBytes = 32;
    constexpr std::size_t keyTextLength = 40;
    /** Send queue per peer; kept short because a later heartbeat replaces an earlier one. */
    constexpr int maxQueuedMessages = 32;
    constexpr std::int64_t maxMessageBytes = 1 << 20;
    /** A connection without traffic for this long is closed and opened anew. */
    constexpr int pingTimeoutMs = 3000;
    constexpr int pingIntervalMs = 1000;
    constexpr int maxReconnectIntervalMs = 1000;
    /** A socket on which nothing was sent for this long is closed. */
    constexpr Duration idleTimeout { std::chrono::seconds(60) };

    bool isLoopback(const std::string& ip)
    {
        return ip.compare(0, 4, "127.") == 0 || ip == "::1";
    }

    std::string endpoint(const Address& address)
    {
        const bool isIpv6 = address.ip_.find(':') != std::string::npos;
        const std::string host = isIpv6 ? "[" + address.ip_ + "]" : address.ip_;
        return "tcp://" + host + ":" + std::to_string(address.port_);
    }

    /** Enables ZMTP heartbeats, which detect peers that vanished without closing the connection. */
    void enablePings(zmq::socket_t& socket)
    {
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::heartbeat_ivl, pingIntervalMs);
        socket.set(zmq::sockopt::heartbeat_timeout, pingTimeoutMs);
    }

    struct Connection {
        zmq::socket_t socket_;
        Address address_;
        Time lastUsedAt_;
    };

}

struct PeerTransport::Impl {
    explicit Impl(const Settings& settings)
        : publicKey_(settings.peerPublicKey_)
        , secretKey_(settings.peerSecretKey_)
        , incoming_(context_, zmq::socket_type::pull)
        , authentication_(context_, zmq::socket_type::rep)
        , wakeReceiver_(context_, zmq::socket_type::pull)
        , wakeSender_(context_, zmq::socket_type::push)
    {
        wakeReceiver_.bind(wakeAddress);
        wakeSender_.connect(wakeAddress);
        wakeSender_.set(zmq::sockopt::linger, 0);
        wakeSender_.set(zmq::sockopt::sndhwm, 1);
        authentication_.set(zmq::sockopt::linger, 0);
        authentication_.bind(authenticationAddress);
        enablePings(incoming_);
        incoming_.set(zmq::sockopt::maxmsgsize, maxMessageBytes);
        if (isEncrypted()) {
            incoming_.set(zmq::sockopt::curve_server, true);
            incoming_.set(zmq::sockopt::curve_secretkey, secretKey_);
        }
        incoming_.bind(endpoint(settings.peerAddress_));
    }

    bool isEncrypted() const { return !publicKey_.empty(); }

    zmq::socket_t& socketTo(const InstanceId& id, const Address& address)
    {
        const Time now = monotonicNow();
        closeIdle(now);
        const auto found = connections_.find(id);
        if (found != connections_.end() && found->second.address_ == address) {
            found->second.lastUsedAt_ = now;
            return found->second.socket_;
        }
        zmq::socket_t socket(context_, zmq::socket_type::push);
        enablePings(socket);
        socket.set(zmq::sockopt::sndhwm, maxQueuedMessages);
        // Queues messages on established connections only; otherwise they would be delivered late to a peer that was down.
        socket.set(zmq::sockopt::immediate, true);
        socket.set(zmq::sockopt::reconnect_ivl_max, maxReconnectIntervalMs);
        if (isEncrypted()) {
            socket.set(zmq::sockopt::curve_serverkey, publicKey_);
            socket.set(zmq::sockopt::curve_publickey, publicKey_);
            socket.set(zmq::sockopt::curve_secretkey, secretKey_);
        }
        socket.connect(endpoint(address));
        Connection& connection = connections_[id];
        connection = { std::move(socket), address, now };
        return connection.socket_;
    }

    void closeIdle(Time now)
    {
        for (auto position = connections_.begin(); position != connections_.end();) {
            const bool isIdle = now > position->second.lastUsedAt_ + idleTimeout;
            position = isIdle ? connections_.erase(position) : std::next(position);
        }
    }

    /** Answers a ZAP request: only clients with the deployment's public key may connect. */
    void answerAuthentication()
    {
        std::vector<std::string> parts;
        zmq::message_t part;
        do {
            if (!authentication_.recv(part, zmq::recv_flags::dontwait))
                return;
            parts.push_back(part.to_string());
        } while (part.more());
        constexpr std::size_t versionPart = 0;
        constexpr std::size_t requestPart = 1;
        constexpr std::size_t mechanismPart = 5;
        constexpr std::size_t keyPart = 6;
        const bool isCurve = parts.size() > keyPart && parts[mechanismPart] == "CURVE";
        const bool isAccepted = isCurve && isDeploymentKey(parts[keyPart]);
        if (parts.size() <= requestPart)
            return;
        const std::array<std::string, 6> reply { parts[versionPart], parts[requestPart],
            isAccepted ? "200" : "400", isAccepted ? "OK" : "unknown key", isAccepted ? "peer" : "", "" };
        for (std::size_t index = 0; index < reply.size(); ++index) {
            const bool isLast = index + 1 == reply.size();
            authentication_.send(zmq::buffer(reply[index]), isLast ? zmq::send_flags::none : zmq::send_flags::sndmore);
        }
    }

    bool isDeploymentKey(const std::string& key) const
    {
        std::array<std::uint8_t, keyBytes> ownKey {};
        if (key.size() != keyBytes || zmq_z85_decode(ownKey.data(), publicKey_.c_str()) == nullptr)
            return false;
        return sodium_memcmp(ownKey.data(), key.data(), keyBytes) == 0;
    }

    bool isCut(const InstanceId& id)
    {
        const std::lock_guard<std::mutex> lock(cutMutex_);
        return cut_.count(id) != 0;
    }

    std::string publicKey_;
    std::string secretKey_;
    zmq::context_t context_ { 1 };
    zmq::socket_t incoming_;
    zmq::socket_t authentication_;
    zmq::socket_t wakeReceiver_;
    std::mutex wakeMutex_;
    zmq::socket_t wakeSender_;
    std::map<InstanceId, Connection> connections_;
    std::mutex cutMutex_;
    std::set<InstanceId> cut_;
};

PeerTransport::PeerTransport(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{
}

PeerTransport::~PeerTransport() = default;

Result<std::unique_ptr<PeerTransport>> PeerTransport::open(const Settings& settings)
{
    const bool hasKeys = settings.peerPublicKey_.size() == keyTextLength && settings.peerSecretKey_.size() == keyTextLength;
    const bool hasNoKeys = settings.peerPublicKey_.empty() && settings.peerSecretKey_.empty();
    if (!hasKeys && !hasNoKeys)
        return failure(ErrorKind::OutOfRange, "the peer keys are not a pair of Z85 strings of 40 characters", "set both keys of the pair or neither");
    if (!hasKeys && !isLoopback(settings.peerAddress_.ip_))
        return failure(ErrorKind::Forbidden, "the peer address is not a loopback address and there are no peer keys", "set peers.public_key and peers.secret_key, or listen on a loopback address");
    try {
        return std::unique_ptr<PeerTransport>(new PeerTransport(std::make_unique<Impl>(settings)));
    } catch (const zmq::error_t& error) {
        return failure(ErrorKind::Unavailable, "can't listen on " + endpoint(settings.peerAddress_) + ": " + error.what(), "choose a free address of this machine");
    }
}

void PeerTransport::send(const InstanceId& to, const Address& address, const PeerMessage& message)
{
    const std::string bytes = encodePeerMessage(message);
    bool isSent = false;
    try {
        isSent = address.port_ != 0 && !impl_->isCut(to) && impl_->socketTo(to, address).send(zmq::buffer(bytes), zmq::send_flags::dontwait);
    } catch (const zmq::error_t&) {
        isSent = false;
    }
    if (!isSent) {
        ++counters_.messagesDropped_;
        return;
    }
    ++counters_.messagesSent_;
    counters_.bytesSent_ += bytes.size();
}

std::optional<PeerMessage> PeerTransport::receive(Time deadline)
{
    std::array<zmq::pollitem_t, 3> items { {
        { impl_->incoming_.handle(), 0, ZMQ_POLLIN, 0 },
        { impl_->wakeReceiver_.handle(), 0, ZMQ_POLLIN, 0 },
        { impl_->authentication_.handle(), 0, ZMQ_POLLIN, 0 },
    } };
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(remaining(deadline, monotonicNow()));
    zmq::poll(items.data(), items.size(), timeout + std::chrono::milliseconds(1));
    if ((items[2].revents & ZMQ_POLLIN) != 0)
        impl_->answerAuthentication();
    if ((items[1].revents & ZMQ_POLLIN) != 0) {
        zmq::message_t token;
        while (impl_->wakeReceiver_.recv(token, zmq::recv_flags::dontwait)) { }
    }
    zmq::message_t bytes;
    if (!impl_->incoming_.recv(bytes, zmq::recv_flags::dontwait))
        return std::nullopt;
    counters_.bytesReceived_ += bytes.size();
    Result<PeerMessage> message = decodePeerMessage(bytes.to_string());
    if (!message) {
        ++counters_.messagesUnreadable_;
        return std::nullopt;
    }
    if (impl_->isCut(message->sender_))
        return std::nullopt;
    return std::move(*message);
}

void PeerTransport::wake()
{
    const std::lock_guard<std::mutex> lock(impl_->wakeMutex_);
    static_cast<void>(impl_->wakeSender_.send(zmq::message_t(), zmq::send_flags::dontwait));
}

void PeerTransport::setCut(std::set<InstanceId> cut)
{
    const std::lock_guard<std::mutex> lock(impl_->cutMutex_);
    impl_->cut_ = std::move(cut);
}

}
