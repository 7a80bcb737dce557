#pragma once

#include "base/id.h"
#include "base/time.h"
#include "control/controltiming.h"

#include <map>
#include <set>
#include <vector>

namespace fescuecleat {

/**
 * Tracks for the lease holder when the run permit of a worker that does not
 * answer has expired, so that its tasks have stopped. Takes into account every
 * renewal that may have reached the worker: those of the holder, of former
 * holders, and of instances that were without contact to the holder for long
 * enough to renew by themselves. Reads no clock and does no I/O.
 */
class RunPermits {
public:
    explicit RunPermits(const ControlTiming& timing = {})
        : timing_(timing)
    {
    }

    /** A new epoch of this instance begins; renewals sent by others before are unknown. */
    void beginEpoch(Time now);

    /** A renewal was sent; the worker accepts it until `renewBefore`. */
    void renewalSent(const WorkerId&, Time renewBefore);

    /** The worker answered in this epoch and refuses renewals of older epochs from now on. */
    void workerAnswered(const WorkerId&, Time receivedAt);

    /** Replaces the other instances of the data centre by those of the instance list. */
    void instancesListed(const std::vector<InstanceId>&, Time now);

    /** An instance that knows this epoch answered, at `receivedAt`, a message that the holder sent at `sentAt`. */
    void instanceAnswered(const InstanceId&, Time sentAt, Time receivedAt);

    /** True if no task of the data centre can still run on the worker. */
    bool hasExpiredAt(const WorkerId&, Time now) const;

    /** Instances without contact that may still renew permits; while there are any, no permit counts as expired. */
    std::vector<InstanceId> silentInstancesAt(Time now) const;

private:
    /** Upper bound, in local time, from the acceptance of a renewal to the stop of the tasks. */
    Duration maxExpiryDelay() const;
    bool mayRenewAt(Time lastMessageSentAt, Time now) const;

    struct PermitState {
        Time expiresAt_ = Time::min();
        bool hasAnswered_ = false;
    };

    ControlTiming timing_;
    Time epochBeganAt_ = Time::min();
    std::map<WorkerId, PermitState> workers_;
    /** Send time of the newest message that each instance answered; a time before the epoch if none. */
    std::map<InstanceId, Time> lastMessageSentAt_;
    /** Permits renewed by former holders or instances without contact expire by then. */
    Time otherRenewalsExpireAt_ = Time::min();
};

}
