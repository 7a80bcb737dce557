#pragma once

#include "control/schedulerlease.h"
#include "control/startpermit.h"
#include "platform/table.h"
#include "platform/writeids.h"

#include <cstdint>
#include <mutex>
#include <optional>

namespace fescuecleat {

/** State of the lease and the start permit of an instance at one moment. */
struct ControlStatus {
    /** True while this instance is the scheduler of its data centre. */
    bool isHeld_ = false;
    /** End of the lease; only valid while it is held. */
    Time heldUntil_;
    /** Fence of the epoch of this instance; epoch 0 if it has none. */
    LeaseFence fence_;
    /** End of the start permit. Starting tasks also requires the lease. */
    Time startPermitUntil_;
    /** Newest lease row that was read, of any instance. */
    LeaseRecord newestLease_;
    ServiceRecord service_;
    std::uint64_t serviceVersion_ = 0;
    /** When the newest read that the table answered was sent; Time::min() if none was. */
    Time lastReadSentAt_ = Time::min();
};

/** Counters since the start of the process. */
struct LeaseCounts {
    std::uint64_t reads_ = 0;
    std::uint64_t renewals_ = 0;
    std::uint64_t acquisitions_ = 0;
    std::uint64_t losses_ = 0;
    std::uint64_t failures_ = 0;
};

/**
 * Acquires and renews the scheduler lease and the start permit of this instance
 * in the table. step() is called in a loop by one thread; all other functions
 * are thread-safe.
 */
class LeaseService {
public:
    /** Table and write ids must outlive this object. */
    LeaseService(Table&, WriteIds&, const InstanceId&, const DataCentreId&, const ControlTiming& = {});

    /** Performs the next action, which may block on a call to the table. Returns when the following one is due. */
    Time step();

    ControlStatus status(Time now) const;
    LeaseCounts counts() const;

    /**
     * Registers task starts as in flight. Returns the deadline that each of
     * them must carry, or nothing if tasks may not be started now. Each success
     * needs one endStart(), with the deadline of the start if the worker did not
     * answer: until then the start counts as in flight.
     */
    std::optional<Time> beginStart(Time now);
    void endStart(Time mayTakeEffectUntil = Time::min());

    /**
     * Releases the lease so that another instance can acquire it at once. It
     * counts as not held from the call on; the row is written once no start is
     * in flight. Errors: DeadlineExceeded (the lease has to expire), Unavailable,
     * OutcomeUnknown.
     */
    Result<void> handOver(Time deadline);

private:
    void read(Time now);
    void acquire(const AcquireLease&, const std::string& acquisitionId, Time now);
    void renew(const RenewLease&, Time now);
    void acknowledge(Time now);
    bool waitForStarts(Time deadline);
    /** Number of starts that may still take effect; requires the lock. */
    int startsInFlight(Time now) const { return startsInFlight_ + (now < unansweredStartsUntil_ ? 1 : 0); }
    void recordOutcome(const Result<CommitOutcome>&, Time sentAt, bool isAcquisition);

    Table& table_;
    WriteIds& writeIds_;
    DataCentreId dataCentre_;
    ControlTiming timing_;

    mutable std::mutex mutex_;
    SchedulerLease lease_;
    StartPermit permit_;
    ControlRows rows_;
    Time lastReadSentAt_ = Time::min();
    int startsInFlight_ = 0;
    /** Latest deadline of the starts that ended without an answer. */
    Time unansweredStartsUntil_ = Time::min();
    bool isHandedOver_ = false;
    LeaseCounts counts_;
};

}
