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

/** Counts of a transport since its start. */
struct TransportCounters {
    std::atomic<std::uint64_t> messagesSent_ { 0 };
    std::atomic<std::uint64_t> bytesSent_ { 0 };
    std::atomic<std::uint64_t> bytesReceived_ { 0 };
    /** Messages that a full queue or a cut kept from being sent. */
    std::atomic<std::uint64_t> messagesDropped_ { 0 };
    std::atomic<std::uint64_t> messagesUnreadable_ { 0 };
};

/**
 * Sends and receives messages between daemons over ZeroMQ. Messages may be
 * lost, never blocked for. With keys, connections are encrypted and only
 * holders of the deployment's key pair get in; without keys only loopback
 * addresses are listened at. Used by one thread, except for wake().
 */
class PeerTransport {
public:
    /** Listens at the settings' peer address. Errors: Forbidden without keys beyond loopback, Unavailable. */
    static Result<std::unique_ptr<PeerTransport>> open(const Settings&);
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    void send(const InstanceId& to, const Address&, const PeerMessage&);

    /** Waits for a message at most until the deadline or until woken. */
    std::optional<PeerMessage> receive(Time deadline);

    /** Ends a running receive(); may be called by any thread. */
    void wake();

    /** Drops every message from and to these instances, as a partition would. For tests. */
    void setCut(std::set<InstanceId>);

    const TransportCounters& counters() const { return counters_; }

private:
    struct Impl;
    explicit PeerTransport(std::unique_ptr<Impl>);

    std::unique_ptr<Impl> impl_;
    TransportCounters counters_;
};

}
