#pragma once

#include "base/time.h"
#include "worker/runpermitpolicy.h"

#include <cstdint>
#include <optional>

namespace fescuecleat {

/** What the next renewal of a worker is to carry. */
struct RenewalPlan {
    /** The worker's clock value to extend the permit to; 0 asks for the report only. */
    std::int64_t untilMicros_ = 0;
    Time deadline_;
};

/**
 * What one scheduler knows of the run permit of one worker: until when anything
 * may run there, and when the worker is certainly lost. Pure; the shell sends.
 */
class WorkerLink {
public:
    /**
     * `priorUntil`: the moment up to which earlier schedulers may have extended
     * the permit. It counts until the worker was reached under the present epoch.
     */
    WorkerLink(const RunPermitPolicy&, Time priorUntil, Time now);

    /** When the next renewal is due. */
    Time nextRenewal() const { return nextRenewal_; }

    /** True once nothing of ours can run on the worker. */
    bool isLost(Time now) const;

    /** True while the worker answers. */
    bool isReachable(Time now) const;

    /** Plans the renewal that is due; it counts as sent. */
    RenewalPlan plan(Time now);

    /** The worker answered a renewal with its clock. */
    void onReport(std::int64_t clockMicros, Time received);

    /**
     * A value that the worker's clock has certainly reached by `moment` of ours,
     * whatever the drift; empty if the worker's clock isn't known.
     */
    std::optional<std::int64_t> toWorkerClock(Time moment) const;

    /** Until when the worker may run tasks, in local time. */
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
    bool wasReached_ = false;
    /** The newest renewal extended the permit. */
    bool hasExtended_ = false;
    std::optional<ClockSample> clock_;
};

}
