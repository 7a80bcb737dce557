#pragma once

#include "net/timer.h"
#include "node/lifetime.h"
#include "node/poolworkerclient.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <variant>

namespace fescuecleat {

/**
 * The scheduler's link to one worker: looks at it by long polls, which prolong
 * the lease of what runs there, and delivers orders until they are answered.
 */
class PoolWorkerLink {
public:
    struct Listener {
        std::function<void(const PoolWorkerReport&, Time askedAt)> reported_;
        /** The worker began another life. */
        std::function<void(const WorkerKey& former, const WorkerKey& current)> reborn_;
        std::function<void(bool isReachable, const char* cause)> reachabilityChanged_;
        /** Whatever ran there has certainly lapsed. */
        std::function<void()> lapsed_;
        std::function<bool(const RunId&)> isStartWanted_;
        std::function<void(const RunId&, StartAnswer)> startAnswered_;
        std::function<void(const RunId&)> stopConfirmed_;
        std::function<bool(const RunId&)> isStopWanted_;
        std::function<void(const std::string& cause)> superseded_;
    };

    struct Terms {
        std::int64_t fence_ = 0;
        /** The longest lease that a worker grants. */
        Duration maxLease_ {};
        /** Leases granted by former schedulers have lapsed by then. */
        Time formerLeasesLapse_ {};
        /** How long a look waits for an end. */
        Duration lookWait_ {};
    };

    PoolWorkerLink(boost::asio::io_context&, PoolWorkerClient&, WorkerInfo, Terms, Listener);

    void open() { hold(false); }
    void update(const WorkerInfo&);
    const WorkerKey& key() const { return info_.key_; }

    void start(StartOrder);
    void stop(const RunId&);
    /** The ends up to this number are stored. */
    void endsStored(std::int64_t sequence);

private:
    using Order = std::variant<StartOrder, StopOrder>;

    void hold(bool isPatient);
    void holdAnswered(const PoolWorkerReport&, Time askedAt);
    void holdFailed(WorkerFailure);
    void setReachable(bool, const char* cause);
    void checkLapse();
    std::int64_t leaseEnd();
    void sendOrders();
    void send(StartOrder);
    void send(const StopOrder&);
    void retry(Order);

    PoolWorkerClient& client_;
    WorkerInfo info_;
    Terms terms_;
    Listener listener_;
    Timer holdTimer_;
    Timer orderTimer_;
    Lifetime lifetime_;

    bool isReachable_ = false;
    bool isHolding_ = false;
    bool isClockKnown_ = false;
    std::int64_t clockMs_ = 0;
    Time clockAt_ {};
    /** The longest lease that was granted, on the worker's clock. */
    std::int64_t grantedUntilMs_ = 0;
    /** All leases there have certainly lapsed by then. */
    Time lapseAt_ {};
    bool isLapsed_ = false;
    std::int64_t storedEnds_ = 0;
    std::int64_t reportedEnds_ = 0;
    std::deque<Order> orders_;
    /** Orders without an answer, to be sent again after a pause. */
    std::deque<Order> delayed_;
    std::size_t ordersInFlight_ = 0;
};

}
