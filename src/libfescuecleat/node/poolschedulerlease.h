#pragma once

#include "net/timer.h"
#include "node/jsoneventlog.h"
#include "node/lifetime.h"
#include "node/rowstore.h"
#include "node/storeclock.h"
#include "node/tablefollower.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace fescuecleat {

/** The content of the lease row. */
struct PoolLeaseRecord {
    std::string holder_;
    /** Increases with each new holder. */
    std::int64_t epoch_ = 0;
    /** Expiry by the store's clock. */
    std::int64_t untilMs_ = 0;
};

/** A newly acquired lease. */
struct AcquiredLease {
    std::int64_t epoch_ = 0;
    /** Version of the row that chains the commits of job records. */
    std::uint64_t chainVersion_ = 0;
    /** The former holder may have sent requests to workers until then. */
    Time formerHolderActiveUntil_ {};
};

/**
 * The lease of the pool's scheduler: one row, changed by compare-and-set on its
 * version. The holder regards its lease as expired earlier than any candidate
 * does, so two holders never overlap.
 */
class PoolSchedulerLease {
public:
    struct Listener {
        std::function<void(const AcquiredLease&)> acquired_;
        /** The lease expired or was taken over; nothing may be started any more. */
        std::function<void(const std::string& cause)> lost_;
    };

    PoolSchedulerLease(boost::asio::io_context&, RowStore&, StoreClock&, JsonEventLog&, std::string instance, double processorShare, Listener);

    void start();
    /** Releases the lease; calls `done` when the store has confirmed this or the write has failed. */
    void release(std::function<void()> done);
    /** The last known holder of the lease; empty if none is known. */
    std::string holder() const { return lastSeen_ ? lastSeen_->holder_ : std::string(); }
    /** Whether this instance certainly still holds the lease. */
    bool isHeld(Time now) const;
    /** Stops acting as the holder, because a newer scheduler was detected. */
    void abandon(const std::string& cause);
    /** Asks the store soon whether another instance has taken the lease, for a reason that doesn't prove it. */
    void verify(const std::string& cause);

    static constexpr const char* chainTable = "chain";
    static constexpr const char* chainKey = "pool";
    static std::string chainValue(std::int64_t epoch, std::uint64_t sequence);

private:
    void observe(const StoredRow&);
    void tryAcquire();
    bool isVacant(Time now) const;
    /** Longer while the store is slow. */
    Duration leaseDuration() const;
    void acquire();
    void renew();
    /** Decides whether a renewal without an answer is sent again. */
    void checkRenewal(std::int64_t until);
    void scheduleRenewal(Time lastAttemptAt);
    void write(const PoolLeaseRecord&, bool isNew, std::function<void(tl::expected<StoreTimestamp, StoreFailure>)>);
    void loseLease(const std::string& cause);
    void scheduleLeaseCheck();

    RowStore& store_;
    StoreClock& clock_;
    JsonEventLog& log_;
    std::string instance_;
    /** Delay before this instance tries to acquire a vacant lease. */
    Duration acquireDelay_;
    Listener listener_;
    TableFollower follower_;
    Timer acquireTimer_;
    Timer renewalTimer_;
    Timer leaseCheckTimer_;
    Timer renewalCheckTimer_;
    Time verifiedAt_ {};
    Lifetime lifetime_;

    std::optional<PoolLeaseRecord> lastSeen_;
    std::uint64_t lastSeenVersion_ = 0;
    bool isHolder_ = false;
    bool isWriting_ = false;
    /** The delay before an attempt to acquire the lease is running. */
    bool isAcquirePending_ = false;
    bool isStopping_ = false;
    std::int64_t epoch_ = 0;
    std::int64_t untilMs_ = 0;
    /** Duration of the slowest recent renewal; decays with each one. */
    Duration slowestRenewal_ {};
};

}
