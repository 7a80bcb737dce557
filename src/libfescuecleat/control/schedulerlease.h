#pragma once

#include "base/id.h"
#include "base/time.h"
#include "control/controlrecords.h"
#include "control/controltiming.h"
#include "control/leasefence.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace fescuecleat {

/** Call next() again at this time. */
struct WaitForLease {
    Time until_;
};

/** Read the control rows, then call observed(). */
struct ReadControlRows {
};

/** Write both rows if they still have these versions, then call acquired() or refused(). */
struct AcquireLease {
    LeaseRecord record_;
    std::uint64_t leaseVersion_ = 0;
    std::uint64_t heartbeatVersion_ = 0;
};

/** Write the heartbeat row if the lease row still has this version, then call renewed() or refused(). */
struct RenewLease {
    LeaseRecord record_;
    std::uint64_t leaseVersion_ = 0;
};

using LeaseStep = std::variant<WaitForLease, ReadControlRows, AcquireLease, RenewLease>;

/**
 * State machine of one instance for the scheduler lease of its data centre.
 * Reads no clock and does no I/O. The protocol and the proof of its timing are
 * in docs/design/leases-and-permits.md.
 */
class SchedulerLease {
public:
    SchedulerLease(InstanceId, DataCentreId, const ControlTiming& = {});

    /** The next action. `acquisitionId` is a fresh write id, used if the action is AcquireLease. */
    LeaseStep next(Time now, const std::string& acquisitionId);

    /** A read returned these rows at `receivedAt`. */
    void observed(const ControlRows&, Time receivedAt);
    /** The newest AcquireLease was committed at this revision. */
    void acquired(std::uint64_t revision);
    /** A RenewLease that was sent at `sentAt` was committed. */
    void renewed(Time sentAt);
    /** The conditions of the newest write failed: another epoch began, or the holder renewed its lease. */
    void refused();
    /** A read or write failed, or its outcome is unknown. */
    void failed(Time now);
    /** The holder releases the lease. It must not act as the scheduler any more. */
    void handedOver();

    /** True while this instance is the scheduler of the data centre. */
    bool isHeldAt(Time now) const { return epoch_ != 0 && now < validUntil_; }
    /** End of the lease; only valid while it is held. */
    Time validUntil() const { return validUntil_; }
    /** Fence of the epoch of this instance; epoch 0 if it has none. */
    LeaseFence fence() const;
    /** The complete state in one line, for dumps and as the key of a state in model checking. */
    std::string stateText() const;
    /** Newest lease row that was read. */
    const LeaseRecord& newestLease() const { return observedRows_.lease_; }

private:
    struct PendingAcquisition {
        LeaseRecord record_;
        Time sentAt_;
    };

    bool canAcquireAt(Time now) const;
    void clearEpoch();

    InstanceId self_;
    DataCentreId dataCentre_;
    ControlTiming timing_;

    ControlRows observedRows_;
    bool hasObservedRows_ = false;
    /** When the lease and heartbeat versions of observedRows_ were first read. */
    Time unchangedSince_;
    Time nextRead_ = Time::min();
    Time nextRenewal_;

    std::optional<PendingAcquisition> pendingAcquisition_;
    LeaseRecord ownRecord_;
    std::uint64_t epoch_ = 0;
    std::uint64_t leaseVersion_ = 0;
    Time validUntil_;
};

}
