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

/** Nothing to do before this moment. */
struct WaitForLease {
    Time until_;
};

/** Read the control rows, then call observed(). */
struct ReadControlRows {
};

/** Begin an epoch if both rows still have these versions, then call acquired() or refused(). */
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
 * One instance's part in the lease of its data centre's scheduler. Pure: it
 * reads no clock and does no I/O. docs/design/leases-and-permits.md gives the
 * protocol and its timing argument.
 */
class SchedulerLease {
public:
    SchedulerLease(InstanceId, DataCentreId, const ControlTiming& = {});

    /** What to do now. `claim` is a fresh write id for the case that the step acquires. */
    LeaseStep next(Time now, const std::string& claim);

    /** The rows as a read showed them that was answered at `receivedAt`. */
    void observed(const ControlRows&, Time receivedAt);
    /** The newest AcquireLease took effect at this revision. */
    void acquired(std::uint64_t revision);
    /** A RenewLease that was sent at `sentAt` took effect. */
    void renewed(Time sentAt);
    /** The newest step's conditions failed: another epoch began, or a heartbeat came. */
    void refused();
    /** A read, renewal or acquisition failed, or its outcome is unknown. */
    void failed(Time now);
    /** The holder stops by itself; it must have stopped acting before. */
    void handedOver();

    /** True while this instance may decide for the data centre. */
    bool isHeldAt(Time now) const { return epoch_ != 0 && now < validUntil_; }
    /** End of the validity; meaningless unless held. */
    Time validUntil() const { return validUntil_; }
    /** Fence of this instance's own epoch; epoch 0 if it has none. */
    LeaseFence fence() const;
    /** The whole state in one line, for the dump and for model checking. */
    std::string stateText() const;
    /** The newest lease that was seen. */
    const LeaseRecord& newestLease() const { return seen_.lease_; }

private:
    struct PendingAcquisition {
        LeaseRecord record_;
        Time sentAt_;
    };

    bool canAcquireAt(Time now) const;
    void forgetEpoch();

    InstanceId self_;
    DataCentreId dataCentre_;
    ControlTiming timing_;

    ControlRows seen_;
    bool hasSeen_ = false;
    /** When the rows were first seen with the versions that they have in seen_. */
    Time firstSeen_;
    Time nextRead_ = Time::min();
    Time nextRenewal_;

    std::optional<PendingAcquisition> acquisition_;
    LeaseRecord own_;
    std::uint64_t epoch_ = 0;
    std::uint64_t leaseVersion_ = 0;
    Time validUntil_;
};

}
