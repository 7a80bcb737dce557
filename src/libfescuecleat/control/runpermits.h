#pragma once

#include "base/id.h"
#include "base/time.h"
#include "control/controltiming.h"

#include <map>
#include <set>
#include <vector>

namespace fescuecleat {

/**
 * The holder's knowledge of when a worker that doesn't answer has certainly
 * stopped its tasks. Every renewal counts that may have reached the worker:
 * the holder's own, those of former holders, and those of instances that heard
 * nothing of the holder for long enough to renew by themselves. Pure.
 */
class RunPermits {
public:
    explicit RunPermits(const ControlTiming& timing = {})
        : timing_(timing)
    {
    }

    /** This instance's epoch began; what others did before is unknown. */
    void epochBegan(Time now);

    /** A renewal was sent that the worker takes only until `renewBefore`. */
    void renewalSent(const WorkerId&, Time renewBefore);

    /** The worker answered under this epoch, so it refuses renewals of older ones. */
    void workerAnswered(const WorkerId&, Time receivedAt);

    /** The other instances of the data centre, as the instance list shows them. */
    void instancesListed(const std::vector<InstanceId>&, Time now);

    /** An instance answered, at `receivedAt`, a message of the holder that was sent at `sentAt`, and is under this epoch. */
    void instanceAnswered(const InstanceId&, Time sentAt, Time receivedAt);

    /** True if nothing of ours can run on the worker any more. */
    bool hasCertainlyLapsedAt(const WorkerId&, Time now) const;

    /** Instances whose silence keeps lost workers from being given up. */
    std::vector<InstanceId> silentInstancesAt(Time now) const;

private:
    /** Time from the last moment at which a renewal is taken to the certain stop of the tasks. */
    Duration lapseTime() const;
    bool mayRenewAt(Time heardAt, Time now) const;

    struct PermitState {
        Time lapsesAt_ = Time::min();
        bool hasAnswered_ = false;
    };

    ControlTiming timing_;
    Time epochBegan_ = Time::min();
    std::map<WorkerId, PermitState> workers_;
    /** Send time of the newest message that each instance answered; before the epoch if none. */
    std::map<InstanceId, Time> heard_;
    /** Renewals that silent instances may have sent lapse by then. */
    Time othersLapseAt_ = Time::min();
};

}
