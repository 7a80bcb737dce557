#pragma once

#include "membership/membershipcore.h"
#include "membership/peertransport.h"
#include "json/json.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace fescuecleat {

/**
 * Runs the membership core on a thread that also owns the sockets. Other
 * threads pass events through a locked queue; that lock is not held while a
 * listener is called. Thread-safe.
 */
class MembershipService {
public:
    using ViewPointer = std::shared_ptr<const MembershipView>;
    using ViewListener = std::function<void(const ViewPointer&)>;
    /** Receives loan messages on the service's thread; must not block. */
    using MessageListener = std::function<void(const PeerMessage&)>;

    /** Starts listening. `incarnation` must be greater than at any earlier start of this instance. Errors: those of PeerTransport::open(). */
    static Result<std::unique_ptr<MembershipService>> start(const Settings&, std::uint64_t incarnation);
    ~MembershipService();
    MembershipService(const MembershipService&) = delete;
    MembershipService& operator=(const MembershipService&) = delete;

    /** The last published view, at most a second old. */
    ViewPointer view() const;

    /** Sets the state that is published to the peers; a change is sent without waiting for the next heartbeat. */
    void setLocalState(const LocalState&);
    LocalState localState() const;

    /** Atomically modifies the local state, so that concurrent changes of other fields are kept. */
    void updateLocalState(const std::function<void(LocalState&)>&);

    /** Replaces the known instance list of the platform. */
    void setInstanceList(const std::vector<ListedInstance>&);

    /** Announces to the peers that this instance shuts down. */
    void announceLeave();

    /** Sends a message on behalf of another component, without a delivery guarantee. */
    void send(const InstanceId& to, const PeerContent&);

    /** The listener is called on the service's thread after each change and at least every second. */
    void addViewListener(ViewListener);

    /** Waits for a running call of the old listener; an empty listener removes it. */
    void setMessageListener(MessageListener);

    /** Drops all messages from and to these instances, replacing the earlier set. For fault injection. */
    void setCut(std::set<InstanceId>);

    const TransportCounters& counters() const { return transport_->counters(); }

    /** The view and the counters as JSON, for operators. */
    JsonValue dump() const;

private:
    struct PendingMessage {
        InstanceId to_;
        PeerContent content_;
    };

    MembershipService(std::unique_ptr<PeerTransport>, MembershipOptions);

    void run();
    void enqueue(MembershipEvent);
    void processPending();
    void handle(const MembershipEvent&);
    void receive(PeerMessage);
    void publish();

    std::unique_ptr<PeerTransport> transport_;
    InstanceId self_;
    /** Accessed by the service's thread only. */
    MembershipCore core_;
    bool isViewChanged_ = true;

    mutable std::mutex mutex_;
    ViewPointer view_;
    LocalState localState_;
    std::deque<MembershipEvent> pendingEvents_;
    std::deque<PendingMessage> pendingMessages_;
    std::vector<ViewListener> viewListeners_;
    /** Held while the listener is called; no other lock of this class is acquired under it. */
    std::mutex listenerMutex_;
    MessageListener messageListener_;

    std::atomic<bool> isStopping_ { false };
    std::thread thread_;
};

}
