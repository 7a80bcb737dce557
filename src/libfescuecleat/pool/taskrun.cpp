#include "pool/taskrun.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Minimum interval between speed samples; closer reports are merged into one. */
    constexpr Duration minSampleInterval = std::chrono::milliseconds(700);

}

bool TaskRun::wasReceivedBefore(Time upAt) const
{
    return !mayStartLate_ && startConfirmedAt_ && *startConfirmedAt_ <= upAt && startSentAt_ <= upAt;
}

bool TaskRun::mayHaveBeenInterrupted(Time silentSince, Time lastReportAt) const
{
    if (phase_ == RunPhase::Recording || startedAt_ > silentSince)
        return false;
    return startConfirmedAt_ || (!hasMoved_ && lastReportAt <= startedAt_);
}

void TaskRun::observeProgress(int percent, Time now)
{
    percentDone_ = percent;
    if (!sampledAt_) {
        sampledAt_ = now;
        sampledPercent_ = percent;
        return;
    }
    const Duration span = now - *sampledAt_;
    if (span < minSampleInterval)
        return;
    percentPerSecond_ = (percent - sampledPercent_) / std::chrono::duration<double>(span).count();
    maxPercentPerSecond_ = std::max(maxPercentPerSecond_, *percentPerSecond_);
    sampledAt_ = now;
    sampledPercent_ = percent;
}

double TaskRun::workDoneSeconds(Duration estimate) const
{
    if (maxPercentPerSecond_ > 0)
        return percentDone_ / maxPercentPerSecond_;
    return std::chrono::duration<double>(estimate).count() * percentDone_ / 100;
}

}
