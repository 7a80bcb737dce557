#pragma once

#include "base/time.h"

#include <string>

namespace fescuecleat {

/** Decides when the lease of the scheduler is acquired and renewed, and for how long. Reads no clock. */
class LeasePacing {
public:
    /** Delay before an instance with this share of a processor tries to acquire a vacant lease. */
    static Duration acquireDelay(const std::string& instance, double processorShare);

    /** A write of the lease row was sent. `isPrompted`: the store had just answered another call, so an answer is likely to come. */
    void writeSent(Time now, bool isPrompted);
    Time lastWriteAt() const { return writtenAt_; }
    void renewalAnswered(Duration);
    /** Whether a suspended holder sends a renewal now that the store has answered a call. `isOpen`: the last write may still succeed. */
    bool isRenewalDue(Time now, bool isOpen) const;
    /** Longer while the store is slow. */
    Duration leaseDuration() const;

    /** A slow store needs 300 ms per transaction, and a commit of records and another write may precede it. */
    static constexpr Duration renewalTimeout = std::chrono::milliseconds(1300);

private:
    Time writtenAt_ {};
    bool isPrompted_ = false;
    /** Duration of the slowest recent renewal; decays with each one. */
    Duration slowestRenewal_ {};
};

}
