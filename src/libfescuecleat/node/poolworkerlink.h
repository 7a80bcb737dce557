#pragma once

#include "net/timer.h"
#include "node/lifetime.h"
#include "node/poolworkerclient.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace fescuecleat {

/**
 * The scheduler's link to one worker: follows it with long polls, which also
 * renew the lease of its runs, and repeats start and stop requests until they
 * are answered.
 */
class PoolWorkerLink {
public:
    /** What the belief that all leases on a worker have expired is based on. */
    struct LeaseExpiry {
        Time expiredAt_ {};
        /** This link has granted a lease itself; otherwise only former links or schedulers may have. */
        bool isOwnGrant_ = false;
        std::optional<Time> lastAnswerAt_;
    };

    struct Listener {
        std::function<void(const PoolWorkerReport&, Time askedAt)> reported_;
        /** The worker restarted as a new incarnation. */
        std::function<void(const WorkerKey& former, const WorkerKey& current)> restarted_;
        std::function<void()> answersAgain_;
        /** The worker was certainly up until `upUntil`. */
        std::function<void(Time upUntil, const char* cause)> fellSilent_;
        /** The leases of all runs on the worker have certainly expired. Repeated while the worker is silent. */
        std::function<void(const LeaseExpiry&)> leasesExpired_;
        /** Whether the scheduler still holds its own lease; only then leases of workers are renewed. */
        std::function<bool()> isLeaseHeld_;
        /** Whether the start may be sent now. A start that is no longer permitted is given up. */
        std::function<bool(const RunId&)> isStartWanted_;
        /** Whether the start may be sent later, if not now. */
        std::function<bool(const RunId&)> isStartPending_;
        std::function<void(const RunId&)> startSent_;
        std::function<void(const RunId&)> startUnanswered_;
        std::function<void(const RunId&, StartAnswer)> startAnswered_;
        std::function<void(const RunId&)> stopConfirmed_;
        std::function<bool(const RunId&)> isStopWanted_;
        /** The worker has accepted a higher epoch, of this pool's next scheduler or of another service's. */
        std::function<void()> epochRefused_;
    };

    /** Limits and identity that the scheduler sets for its links. */
    struct Parameters {
        std::int64_t epoch_ = 0;
        /** The longest lease that workers grant. */
        Duration maxLease_ {};
        /** Leases that were granted before this link opens have expired by then. */
        Time earlierLeasesExpireAt_ {};
        /** How long a poll waits for the end of a run. */
        Duration pollWait_ {};
        /** Longest delay after which a worker may still execute a request. */
        Duration maxRequestDelay_ {};
    };

    /** Time for the answer to a start or a stop. */
    static constexpr Duration requestTimeout = std::chrono::milliseconds(500);

    /** When every lease has certainly expired that a worker granted by requests sent until `lastSentAt`, by whatever clock they counted. */
    static Time latestLeaseExpiry(Duration maxLease, Time lastSentAt);

    PoolWorkerLink(boost::asio::io_context&, PoolWorkerClient&, WorkerInfo, Parameters, Listener);

    void open() { poll(false); }
    void update(const WorkerInfo&);
    const WorkerKey& key() const { return info_.key_; }

    void start(StartRequest);
    void stop(const RunId&);
    /** Reports that the ends up to this sequence number are stored. */
    void acknowledgeEnds(std::int64_t sequence);

private:
    using Request = std::variant<StartRequest, StopRequest>;

    void poll(bool waitsForEnd);
    void handlePollAnswer(const PoolWorkerReport&, Time askedAt);
    /** `upUntil` is when the worker was certainly still up. */
    void handlePollFailure(WorkerFailure, Time upUntil);
    void checkLeaseExpiry();
    /** Extends the lease and returns its expiry by the worker's clock, in milliseconds. */
    std::int64_t extendLease();
    void sendRequests();
    void send(StartRequest);
    void send(const StopRequest&);
    void retry(Request);

    PoolWorkerClient& client_;
    WorkerInfo info_;
    Parameters parameters_;
    Listener listener_;
    Timer pollTimer_;
    Timer retryTimer_;
    Lifetime lifetime_;

    bool isReachable_ = false;
    bool isPolling_ = false;
    bool isClockKnown_ = false;
    std::int64_t clockMs_ = 0;
    Time clockReadAt_ {};
    /** Latest expiry that was requested, by the worker's clock. */
    std::int64_t grantedUntilMs_ = 0;
    /** All leases on the worker have certainly expired by then. */
    Time leasesExpireAt_ {};
    std::int64_t lastStoredEnd_ = 0;
    std::int64_t lastReportedEnd_ = 0;
    /** The last report contained ends; only then a poll acknowledges any. */
    bool listsEnds_ = false;
    std::deque<Request> requests_;
    /** Unanswered requests that are sent again after a delay. */
    std::deque<Request> requestsToRetry_;
    std::size_t requestsInFlight_ = 0;
};

}
