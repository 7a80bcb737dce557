#pragma once

#include "base/time.h"
#include "worker/runpermitpolicy.h"

#include <cstdint>
#include <optional>

namespace fescuecleat {

/** Content of the next renewal of a worker. */
struct RenewalPlan {
    /** End of the permit by the clock of the worker; 0 only requests the report. */
    std::int64_t untilMicros_ = 0;
    Time deadline_;
};

/**
 * Tracks the run permit of one worker for its scheduler: until when tasks may
 * run there, and whether the worker is lost. Reads no clock and does no I/O.
 */
class WorkerLink {
public:
    /**
     * `earlierPermitsUntil`: the time until which permits of earlier schedulers
     * may be valid. It applies until the worker answers in this epoch.
     */
    WorkerLink(const RunPermitPolicy&, Time earlierPermitsUntil, Time now);

    /** When the next renewal is due. */
    Time nextRenewal() const { return nextRenewal_; }

    /** True if the worker does not answer and its permit has expired, so that no task can run there. */
    bool isLost(Time now) const;

    /** True if the worker has answered within the suspect timeout. */
    bool isReachable(Time now) const;

    /** Plans the next renewal, which must then be sent. */
    RenewalPlan plan(Time now);

    /** The worker answered a renewal with this value of its clock. */
    void onReport(std::int64_t clockMicros, Time received);

    /**
     * A value, in microseconds, that the clock of the worker has reached by the
     * local time `moment` despite drift; empty if its clock is unknown.
     */
    std::optional<std::int64_t> toWorkerClock(Time moment) const;

    /** Local time until which the worker may run tasks. */
    Time permitUntil() const { return permitUntil_; }

private:
    struct ClockSample {
        std::int64_t micros_ = 0;
        Time received_;
    };

    RunPermitPolicy policy_;
    Time permitUntil_;
    Time nextRenewal_;
    Time lastHeard_;
    bool hasAnswered_ = false;
    /** True if the newest renewal extended the permit. */
    bool hasExtendedPermit_ = false;
    std::optional<ClockSample> clockSample_;
};

}
