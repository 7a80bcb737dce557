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
 * Runs membership: one thread that owns the sockets and the core. Other
 * threads hand events over through a queue under a lock of its own, which is
 * not held while a listener is called. Thread-safe.
 */
class MembershipService {
public:
    using ViewPointer = std::shared_ptr<const MembershipView>;
    using ViewListener = std::function<void(const ViewPointer&)>;
    /** Gets the messages that are not membership's own, on the service's thread; must not block. */
    using MessageListener = std::function<void(const PeerMessage&)>;

    /** Starts listening. `incarnation` is greater than at any earlier start of this instance. Errors: those of the transport. */
    static Result<std::unique_ptr<MembershipService>> start(const Settings&, std::uint64_t incarnation);
    ~MembershipService();
    MembershipService(const MembershipService&) = delete;
    MembershipService& operator=(const MembershipService&) = delete;

    /** The newest view; at most a tick old. */
    ViewPointer view() const;

    /** What this instance tells its peers from now on; news is sent at once. */
    void setLocalState(const LocalState&);
    LocalState localState() const;

    /** Changes a part of the local state and leaves the others' parts alone. */
    void updateLocalState(const std::function<void(LocalState&)>&);

    /** A new reading of the instance list. */
    void setListed(const std::vector<ListedInstance>&);

    /** Tells the peers that this instance leaves. */
    void announceLeave();

    /** Sends a message of another part of the daemon; it may be lost. */
    void send(const InstanceId& to, const PeerContent&);

    /** Called on the service's thread after each change and at least once a second. */
    void addViewListener(ViewListener);

    /** Waits for a call that is in progress; an empty listener takes the old one away. */
    void setMessageListener(MessageListener);

    /** Drops all messages from and to these instances. For tests. */
    void setCut(std::set<InstanceId>);

    const TransportCounters& counters() const { return transport_->counters(); }

    /** The view and the counters, for operators. */
    JsonValue dump() const;

private:
    struct Outgoing {
        InstanceId to_;
        PeerContent content_;
    };

    MembershipService(std::unique_ptr<PeerTransport>, MembershipOptions);

    void run();
    void post(MembershipEvent);
    void takePosted();
    void handle(const MembershipEvent&);
    void receive(PeerMessage);
    void publish();

    std::unique_ptr<PeerTransport> transport_;
    InstanceId self_;
    /** Used by the service's thread only. */
    MembershipCore core_;
    bool isViewChanged_ = true;

    mutable std::mutex mutex_;
    ViewPointer view_;
    LocalState localState_;
    std::deque<MembershipEvent> posted_;
    std::deque<Outgoing> outgoing_;
    std::vector<ViewListener> viewListeners_;
    /** Held while the listener is called; taken before no other lock of this class. */
    std::mutex listenerMutex_;
    MessageListener messageListener_;

    std::atomic<bool> isStopping_ { false };
    std::thread thread_;
};

}
