#include "node/leasepacing.h"

#include <algorithm>
#include <functional>

namespace fescuecleat {

namespace {

    /** Longer than two commits of 0.9 s in a row and the safety margin. */
    constexpr Duration minLeaseDuration = std::chrono::milliseconds(2100);
    /** Added to twice the duration of a renewal, so that the next one is in time even if it is as slow. */
    constexpr Duration leaseDurationMargin = std::chrono::milliseconds(600);
    /** Share of the slowest recent renewal's duration that counts at the next one. */
    constexpr double renewalDurationDecay = 0.75;
    /** Shortest time between renewals of a suspended holder. */
    constexpr Duration minRenewalSpacing = std::chrono::milliseconds(100);
    /** A renewal that followed an answer of the store is waited for this long; a slow store needs 300 ms per transaction. */
    constexpr Duration promptedRenewalWait = std::chrono::milliseconds(600);
    /** Range of the delays that keep candidates from trying at the same time. */
    constexpr int acquireJitterMs = 80;
    /** With this share of a processor an instance easily schedules 350 workers; one with less tries later. */
    constexpr double sufficientProcessorShare = 0.45;
    /** Additional delay of an instance with almost no processor share. */
    constexpr double maxLowShareDelayMs = 700;

}

Duration LeasePacing::acquireDelay(const std::string& instance, double processorShare)
{
    const auto jitter = static_cast<std::int64_t>(std::hash<std::string>()(instance) % acquireJitterMs);
    const double shortage = std::clamp((sufficientProcessorShare - processorShare) / sufficientProcessorShare, 0.0, 1.0);
    return std::chrono::milliseconds(jitter + static_cast<std::int64_t>(shortage * maxLowShareDelayMs));
}

void LeasePacing::writeSent(Time now, bool isPrompted)
{
    writtenAt_ = now;
    isPrompted_ = isPrompted;
}

void LeasePacing::renewalAnswered(Duration duration)
{
    // What took longer than the timeout was delayed by this process, not by the store.
    slowestRenewal_ = std::max(std::min(duration, renewalTimeout), std::chrono::duration_cast<Duration>(slowestRenewal_ * renewalDurationDecay));
}

bool LeasePacing::isRenewalDue(Time now, bool isOpen) const
{
    // A write that was sent without a sign of the store may never be answered.
    const bool mayBeAnswered = isOpen && isPrompted_ && now < writtenAt_ + promptedRenewalWait;
    return !mayBeAnswered && now >= writtenAt_ + minRenewalSpacing;
}

Duration LeasePacing::leaseDuration() const
{
    return std::max(minLeaseDuration, 2 * slowestRenewal_ + leaseDurationMargin);
}

}
