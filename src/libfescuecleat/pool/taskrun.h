#pragma once

#include "base/time.h"
#include "pool/resources.h"
#include "pool/workerinfo.h"

#include <cstddef>
#include <optional>

namespace fescuecleat {

enum class RunPhase {
    /** Decided; its place is being stored, no worker has been told. */
    Recording,
    /** The worker was told, or may have been, and has not answered. */
    Starting,
    Running,
    Stopping,
};

/** A run that takes room on a worker. */
struct TaskRun {
    WorkerKey worker_;
    RunPhase phase_ = RunPhase::Recording;
    Resources room_;
    /** Index of the unit in its job. */
    std::size_t unit_ = 0;
    /** Since when the worker certainly knows the run: a report asked for later that doesn't list it shows that it is over. */
    std::optional<Time> knownSince_;
    Time startedAt_ {};
    /** When the stop was last asked for. */
    Time stopAskedAt_ {};
    int percentDone_ = 0;
    /** The percentage and time that the next speed is measured from. */
    int sampledPercent_ = 0;
    std::optional<Time> sampledAt_;
    /** Percent a second, measured last; nothing before two reports. */
    std::optional<double> speed_;
    /** The highest speed that was measured. */
    double bestSpeed_ = 0;

    void observeProgress(int percent, Time now);
    /** Seconds of work that the progress stands for. After a takeover it tells more than the start time. */
    double workDone(Duration estimate) const;
};

}
