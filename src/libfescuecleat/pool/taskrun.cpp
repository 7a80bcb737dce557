#include "pool/taskrun.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Reports closer together than this are measured as one. */
    constexpr Duration minSample = std::chrono::milliseconds(700);

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
    if (span < minSample)
        return;
    speed_ = (percent - sampledPercent_) / std::chrono::duration<double>(span).count();
    bestSpeed_ = std::max(bestSpeed_, *speed_);
    sampledAt_ = now;
    sampledPercent_ = percent;
}

double TaskRun::workDone(Duration estimate) const
{
    if (bestSpeed_ > 0)
        return percentDone_ / bestSpeed_;
    return std::chrono::duration<double>(estimate).count() * percentDone_ / 100;
}

}
