#pragma once

#include "control/schedulerlease.h"
#include "control/startpermit.h"
#include "platform/table.h"
#include "platform/writeids.h"

#include <cstdint>
#include <mutex>
#include <optional>

namespace fescuecleat {

/** What the control rows allow this instance at one moment. */
struct ControlStatus {
    /** True while this instance may decide for its data centre. */
    bool isHeld_ = false;
    /** End of the lease; meaningless unless held. */
    Time heldUntil_;
    /** This instance's own epoch; epoch 0 if it has none. */
    LeaseFence fence_;
    /** Tasks may be started until then if the lease is held as well. */
    Time startPermitUntil_;
    /** The newest lease that was seen, of any instance. */
    LeaseRecord newestLease_;
    ServiceRecord service_;
    std::uint64_t serviceVersion_ = 0;
    /** When a read was sent that the table answered last; Time::min() if none was. */
    Time lastConfirmed_ = Time::min();
};

/** Counters of the lease since the start of the process. */
struct LeaseCounts {
    std::uint64_t reads_ = 0;
    std::uint64_t renewals_ = 0;
    std::uint64_t acquisitions_ = 0;
    std::uint64_t losses_ = 0;
    std::uint64_t failures_ = 0;
};

/**
 * Runs the lease and the start permit of this instance against the table. One
 * thread calls step() in a loop; the rest may be called from any thread.
 */
class LeaseService {
public:
    /** Table and write ids outlive the service. */
    LeaseService(Table&, WriteIds&, const InstanceId&, const DataCentreId&, const ControlTiming& = {});

    /** Takes one step, which may block for a call to the table; returns when the next is due. */
    Time step();

    ControlStatus status(Time now) const;
    LeaseCounts counts() const;

    /**
     * Asks to send starts now. Returns the deadline that each of them must
     * carry, or nothing if none may be sent. Every success is paired with an
     * endStart() once the worker answered or the deadline passed.
     */
    std::optional<Time> beginStart(Time now);
    void endStart();

    /**
     * Gives the lease up so that the next holder need not wait. From the call
     * on it is not held; the table hears of it once no start is in flight.
     */
    Result<void> handOver(Time deadline);

private:
    void read(Time now);
    void acquire(const AcquireLease&, const std::string& claim, Time now);
    void renew(const RenewLease&, Time now);
    void acknowledge(Time now);
    bool endStarts(Time deadline);
    void noteOutcome(const Result<CommitOutcome>&, Time sentAt, bool isAcquisition);

    Table& table_;
    WriteIds& writeIds_;
    DataCentreId dataCentre_;
    ControlTiming timing_;

    mutable std::mutex mutex_;
    SchedulerLease lease_;
    StartPermit permit_;
    ControlRows rows_;
    Time lastConfirmed_ = Time::min();
    int startsInFlight_ = 0;
    bool isHandedOver_ = false;
    LeaseCounts counts_;
};

}
