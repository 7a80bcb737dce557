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

/** What the lease row says. */
struct PoolLeaseRecord {
    std::string holder_;
    /** Rises with each new holder. */
    std::int64_t epoch_ = 0;
    /** On the store's clock. */
    std::int64_t untilMs_ = 0;
};

/** A lease that was just acquired. */
struct AcquiredLease {
    std::int64_t epoch_ = 0;
    /** Of the commit chain's row. */
    std::uint64_t chainVersion_ = 0;
    /** The former holder may have given orders until then. */
    Time formerHolderUntil_ {};
};

/**
 * The lease of the pool's scheduler: one row, changed under the condition of
 * its version. A holder counts its lease as lapsed before anyone else may.
 */
class PoolSchedulerLease {
public:
    struct Listener {
        std::function<void(const AcquiredLease&)> acquired_;
        /** It lapsed or was taken; nothing may be started. */
        std::function<void(const std::string& cause)> lost_;
    };

    PoolSchedulerLease(boost::asio::io_context&, RowStore&, StoreClock&, JsonEventLog&, std::string instance, double processorShare, Listener);

    void start();
    /** Gives the lease up; `done` is called when the store has confirmed it, or can't. */
    void release(std::function<void()> done);
    /** Whether our lease certainly still holds. */
    /** Who held the lease when it was last seen; empty if nobody has. */
    std::string holder() const { return seen_ ? seen_->holder_ : std::string(); }
    bool isHeld(Time now) const;
    /** Someone else showed that a newer scheduler is at work. */
    void giveUp(const std::string& cause);

    static constexpr const char* chainTable = "chain";
    static constexpr const char* chainKey = "pool";
    static std::string chainValue(std::int64_t epoch, std::uint64_t sequence);

private:
    void observe(const StoredRow&);
    void considerAcquiring();
    bool isVacant(Time now) const;
    void acquire();
    void renew();
    /** A renewal has had no answer for long. */
    void checkRenewal(std::int64_t until);
    void scheduleRenewal(Time formerAskedAt);
    void write(const PoolLeaseRecord&, bool isNew, std::function<void(tl::expected<StoreMoment, StoreFailure>)>);
    void lose(const std::string& cause);
    void watch();

    RowStore& store_;
    StoreClock& clock_;
    JsonEventLog& log_;
    std::string instance_;
    /** How long this instance leaves a vacant lease to others. */
    Duration courtesy_;
    Listener listener_;
    TableFollower follower_;
    Timer timer_;
    Timer watchTimer_;
    Timer patience_;
    Lifetime lifetime_;

    std::optional<PoolLeaseRecord> seen_;
    std::uint64_t seenVersion_ = 0;
    bool isHolder_ = false;
    bool isWriting_ = false;
    bool isStopping_ = false;
    std::int64_t epoch_ = 0;
    std::int64_t untilMs_ = 0;
    int conflicts_ = 0;
};

}
