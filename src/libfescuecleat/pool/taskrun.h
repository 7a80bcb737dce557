#pragma once

#include "base/time.h"
#include "pool/resources.h"
#include "pool/unitid.h"
#include "pool/workerinfo.h"

#include <optional>

namespace fescuecleat {

enum class RunPhase {
    /** The placement is being stored; no worker has received the start. */
    Recording,
    /** The start may have been sent; the worker has not answered. */
    Starting,
    Running,
    Stopping,
};

/** A run that occupies resources on a worker. */
struct TaskRun {
    WorkerKey worker_;
    RunPhase phase_ = RunPhase::Recording;
    Resources resources_;
    UnitId unit_;
    /** It runs until its job is cancelled; set by PoolState::addRun(). */
    bool isLasting_ = false;
    /**
     * When the worker acknowledged the run or its stop. If a report that was requested
     * later doesn't list the run, it has ended.
     */
    std::optional<Time> acknowledgedAt_;
    Time startedAt_ {};
    /** When the newest request for the start was sent. */
    Time startSentAt_ {};
    /** A request for the start got no answer, so it may be executed later. */
    bool mayStartLate_ = false;
    /** Its worker restarted after the start may have been sent. */
    bool hasMoved_ = false;
    /** When a worker first showed that it had received the start. */
    std::optional<Time> startConfirmedAt_;
    /** It has been seen at work some time after its start, so it isn't one whose start crashes the worker. */
    bool hasSurvivedStart_ = false;
    /** When the last stop request was decided. */
    Time stopRequestedAt_ {};
    int percentDone_ = 0;
    /** Baseline of the next speed sample. */
    int sampledPercent_ = 0;
    std::optional<Time> sampledAt_;
    /** Latest speed sample; unset until two reports have arrived. */
    std::optional<double> percentPerSecond_;
    double maxPercentPerSecond_ = 0;

    /** Whether a request for the start was sent, by this or a former scheduler. */
    bool mayBeKnownToWorker() const { return startSentAt_ != Time {} || acknowledgedAt_ || startConfirmedAt_; }
    /** Whether an incarnation that was up at `upAt` has certainly received the start, so that the next one hasn't. */
    bool wasReceivedBefore(Time upAt) const;
    /**
     * Whether the worker may have been executing the run when it fell silent. `lastReportAt`
     * is when its newest report was requested, which would have listed the run.
     */
    bool mayHaveBeenInterrupted(Time silentSince, Time lastReportAt) const;
    void observeProgress(int percent, Time now);
    /**
     * Seconds of work that the progress corresponds to. After a failover it is more
     * accurate than the time since `startedAt_`, which the new scheduler has reset.
     */
    double workDoneSeconds(Duration estimate) const;
};

}
