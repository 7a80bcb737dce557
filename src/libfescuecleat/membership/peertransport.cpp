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
    constexpr std::size_t keyCharacters = 40;
    /** Messages that wait for a peer; older news is worth little. */
    constexpr int queuedMessages = 32;
    constexpr std::int64_t largestMessage = 1 << 20;
    /** A connection without a sign of life for this long is replaced. */
    constexpr int silenceMilliseconds = 3000;
    constexpr int pingMilliseconds = 1000;
    constexpr int longestReconnectMilliseconds = 1000;
    /** A socket to a peer that got nothing for this long is closed. */
    constexpr Duration idleTime { std::chrono::seconds(60) };

    bool isLoopback(const std::string& ip)
    {
        return ip.compare(0, 4, "127.") == 0 || ip == "::1";
    }

    std::string endpoint(const Address& address)
    {
        const bool isVersion6 = address.ip_.find(':') != std::string::npos;
        const std::string host = isVersion6 ? "[" + address.ip_ + "]" : address.ip_;
        return "tcp://" + host + ":" + std::to_string(address.port_);
    }

    /** Notices peers that went silent without closing. */
    void watchSilence(zmq::socket_t& socket)
    {
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::heartbeat_ivl, pingMilliseconds);
        socket.set(zmq::sockopt::heartbeat_timeout, silenceMilliseconds);
    }

    struct Outgoing {
        zmq::socket_t socket_;
        Address address_;
        Time usedAt_;
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
        watchSilence(incoming_);
        incoming_.set(zmq::sockopt::maxmsgsize, largestMessage);
        if (isSecured()) {
            incoming_.set(zmq::sockopt::curve_server, true);
            incoming_.set(zmq::sockopt::curve_secretkey, secretKey_);
        }
        incoming_.bind(endpoint(settings.peerAddress_));
    }

    bool isSecured() const { return !publicKey_.empty(); }

    zmq::socket_t& socketTo(const InstanceId& id, const Address& address)
    {
        const Time now = monotonicNow();
        closeIdle(now);
        const auto found = outgoing_.find(id);
        if (found != outgoing_.end() && found->second.address_ == address) {
            found->second.usedAt_ = now;
            return found->second.socket_;
        }
        zmq::socket_t socket(context_, zmq::socket_type::push);
        watchSilence(socket);
        socket.set(zmq::sockopt::sndhwm, queuedMessages);
        // Without this, messages would pile up for a peer that is gone and arrive late.
        socket.set(zmq::sockopt::immediate, true);
        socket.set(zmq::sockopt::reconnect_ivl_max, longestReconnectMilliseconds);
        if (isSecured()) {
            socket.set(zmq::sockopt::curve_serverkey, publicKey_);
            socket.set(zmq::sockopt::curve_publickey, publicKey_);
            socket.set(zmq::sockopt::curve_secretkey, secretKey_);
        }
        socket.connect(endpoint(address));
        Outgoing& outgoing = outgoing_[id];
        outgoing = { std::move(socket), address, now };
        return outgoing.socket_;
    }

    void closeIdle(Time now)
    {
        for (auto position = outgoing_.begin(); position != outgoing_.end();) {
            const bool isIdle = now > position->second.usedAt_ + idleTime;
            position = isIdle ? outgoing_.erase(position) : std::next(position);
        }
    }

    /** Answers the library's question whether a client may connect. */
    void authenticate()
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
        std::array<std::uint8_t, keyBytes> own {};
        if (key.size() != keyBytes || zmq_z85_decode(own.data(), publicKey_.c_str()) == nullptr)
            return false;
        return sodium_memcmp(own.data(), key.data(), keyBytes) == 0;
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
    std::map<InstanceId, Outgoing> outgoing_;
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
    const bool hasKeys = settings.peerPublicKey_.size() == keyCharacters && settings.peerSecretKey_.size() == keyCharacters;
    const bool hasNone = settings.peerPublicKey_.empty() && settings.peerSecretKey_.empty();
    if (!hasKeys && !hasNone)
        return failure(ErrorKind::OutOfRange, "the peer keys are not a pair of Z85 texts of 40 characters", "give both keys of the pair or none");
    if (!hasKeys && !isLoopback(settings.peerAddress_.ip_))
        return failure(ErrorKind::Forbidden, "the peer address is not a loopback address and there are no peer keys", "set the peers' key pair");
    try {
        return std::unique_ptr<PeerTransport>(new PeerTransport(std::make_unique<Impl>(settings)));
    } catch (const zmq::error_t& error) {
        return failure(ErrorKind::Unavailable, "can't listen at " + endpoint(settings.peerAddress_) + ": " + error.what(), "choose an address of this machine that is free");
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
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(remaining(deadline, monotonicNow()));
    zmq::poll(items.data(), items.size(), left + std::chrono::milliseconds(1));
    if ((items[2].revents & ZMQ_POLLIN) != 0)
        impl_->authenticate();
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
