#pragma once

#include "net/timer.h"
#include "node/jsoneventlog.h"
#include "node/leasepacing.h"
#include "node/leaserowprobe.h"
#include "node/lifetime.h"
#include "node/poolleaserecord.h"
#include "node/rowstore.h"
#include "node/storeclock.h"
#include "node/tablefollower.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace fescuecleat {

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
 *
 * A holder that can't renew in time is suspended: it isn't the holder for the time being, but tries to renew on
 * the version of the row that it last saw. If that succeeds, nobody held the lease meanwhile, and its term goes on.
 */
class PoolSchedulerLease {
public:
    struct Listener {
        std::function<void(const AcquiredLease&)> acquired_;
        /** The term has ended; nothing may be started any more. */
        std::function<void(const std::string& cause)> lost_;
        /** The term goes on after a suspension; nobody else held the lease meanwhile. */
        std::function<void()> resumed_ = {};
    };

    PoolSchedulerLease(boost::asio::io_context&, RowStore&, StoreClock&, JsonEventLog&, std::string instance, double processorShare, Listener);

    void start();
    /** Releases the lease; calls `done` when the store has confirmed this or the write has failed. */
    void release(std::function<void()> done);
    /** The last known holder of the lease; empty if none is known. */
    std::string holder() const { return lastSeen_ ? lastSeen_->holder_ : std::string(); }
    /** Whether this instance certainly still holds the lease. */
    bool isHeld(Time now) const { return !suspendedAt_ && isCovered(now); }
    bool isSuspended() const { return suspendedAt_.has_value(); }
    /** Time for which this instance's terms were suspended, and how often one was resumed. */
    Duration suspendedTime(Time now) const { return suspendedTime_ + (suspendedAt_ ? now - *suspendedAt_ : Duration::zero()); }
    std::uint64_t resumptions() const { return resumptions_; }
    /** The store has answered a call: a suspended holder tries to renew at once. */
    void storeAnswered();
    /** Stops acting as the holder, because a newer scheduler was detected. */
    void abandon(const std::string& cause) { loseLease(cause); }
    /** Asks the store soon whether another instance has taken the lease, for a reason that doesn't prove it. */
    void verify(const std::string& cause);

    static constexpr const char* chainTable = "chain";
    static constexpr const char* chainKey = "pool";
    static std::string chainValue(std::int64_t epoch, std::uint64_t sequence) { return std::to_string(epoch) + ":" + std::to_string(sequence); }

private:
    using WriteHandler = std::function<void(const tl::expected<StoreTimestamp, StoreFailure>&, bool isNewest)>;

    void observe(const StoredRow&);
    void observeRows(const std::vector<StoredRow>&);
    void tryAcquire();
    bool isVacant(Time now) const;
    bool isOurs(const PoolLeaseRecord& lease) const { return lease.epoch_ == epoch_ && lease.holder_ == instance_; }
    /** Whether the expiry of this instance's lease is certainly ahead. */
    bool isCovered(Time now) const;
    void acquire();
    /** `isPrompted`: the store has just answered another call. */
    void renew(bool isPrompted);
    void handleRenewal(const tl::expected<StoreTimestamp, StoreFailure>&, bool isNewest, std::int64_t until, Time sentAt);
    /** Decides whether a renewal without an answer is sent again. */
    void checkRenewal(std::int64_t until);
    /** Takes in the lease row before it calls the handler. */
    void readRow(RowStore::PageHandler);
    void scheduleRenewal(Time lastAttemptAt);
    /** Whether the newest write may still succeed: the row is not known to have changed since. */
    bool isWriteOpen() const { return isWriting_ && writeExpectation_ == lastSeenVersion_; }
    void write(const PoolLeaseRecord&, bool isNew, WriteHandler);
    void sendRelease(std::function<void()> done);
    /** The row shows that this instance's lease lasts until then. */
    void extend(std::int64_t untilMs);
    /** Suspends or resumes the term if its lease has expired or is covered again. */
    void reviewTerm();
    void suspend(Time now);
    void resume(Time now);
    void endSuspension(Time now);
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
    LeaseRowProbe probe_;
    LeasePacing pacing_;
    Time verifiedAt_ {};
    Lifetime lifetime_;

    std::optional<PoolLeaseRecord> lastSeen_;
    std::uint64_t lastSeenVersion_ = 0;
    bool isHolder_ = false;
    bool isWriting_ = false;
    /** Number and expected version of the newest write. */
    std::uint64_t lastWrite_ = 0;
    std::uint64_t writeExpectation_ = 0;
    /** The delay before an attempt to acquire the lease is running. */
    bool isAcquirePending_ = false;
    bool isStopping_ = false;
    std::int64_t epoch_ = 0;
    std::int64_t untilMs_ = 0;
    /** When the lease of the term was found to have expired; none if it hasn't. */
    std::optional<Time> suspendedAt_;
    Duration suspendedTime_ {};
    std::uint64_t resumptions_ = 0;
};

}
