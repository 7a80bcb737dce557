#pragma once

#include "base/result.h"
#include "membership/peermessage.h"
#include "settings/settings.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace fescuecleat {

/** Message and byte counts since the transport was opened. */
struct TransportCounters {
    std::atomic<std::uint64_t> messagesSent_ { 0 };
    std::atomic<std::uint64_t> bytesSent_ { 0 };
    std::atomic<std::uint64_t> bytesReceived_ { 0 };
    /** Messages that were not sent: full queue, no connection, blocked peer or no known address. */
    std::atomic<std::uint64_t> messagesDropped_ { 0 };
    std::atomic<std::uint64_t> messagesUnreadable_ { 0 };
};

/**
 * Exchanges messages between instances over ZeroMQ. Sending never blocks;
 * messages may be lost. With keys, connections are encrypted and only holders
 * of the deployment's key pair are accepted; without keys, the transport
 * listens on loopback addresses only. Used by a single thread, except for
 * wake() and setCut().
 */
class PeerTransport {
public:
    /**
     * Listens on the peer address of the settings. Errors: OutOfRange for
     * malformed keys, Forbidden without keys on other than a loopback address,
     * Unavailable.
     */
    static Result<std::unique_ptr<PeerTransport>> open(const Settings&);
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    void send(const InstanceId& to, const Address&, const PeerMessage&);

    /** Waits for a message until the deadline or a call of wake(). */
    std::optional<PeerMessage> receive(Time deadline);

    /** Interrupts receive(). Thread-safe. */
    void wake();

    /** Simulates a network partition: drops all messages from and to these instances. Thread-safe. For fault injection. */
    void setCut(std::set<InstanceId>);

    const TransportCounters& counters() const { return counters_; }

private:
    struct Impl;
    explicit PeerTransport(std::unique_ptr<Impl>);

    std::unique_ptr<Impl> impl_;
    TransportCounters counters_;
};

}
