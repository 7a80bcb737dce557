#include "node/storeclock.h"

#include <algorithm>
#include <iterator>

namespace fescuecleat {

namespace {

    /** The local clock and the store's may run apart by this ratio. */
    constexpr double maxStoreClockDriftRatio = 0.02;
    /** The store truncates its clock to whole milliseconds. */
    constexpr Duration clockResolution = std::chrono::milliseconds(1);
    /** Views older than this permit nothing, so earlier versions need not be known. */
    constexpr Duration versionMemory = std::chrono::seconds(10);
    /** Bounds the number of versions that are kept. */
    constexpr Duration versionSpacing = std::chrono::milliseconds(20);

}

Duration StoreClock::drift(Time now) const
{
    return std::chrono::duration_cast<Duration>(std::max(Duration::zero(), now - boundsAt_) * maxStoreClockDriftRatio);
}

void StoreClock::observe(const StoreTimestamp& timestamp)
{
    const Time now = timestamp.answeredAt_;
    const Duration clock = std::chrono::milliseconds(timestamp.clockMs_);
    const Duration observedMin = clock - timestamp.answeredAt_.time_since_epoch();
    const Duration observedMax = clock + clockResolution - timestamp.askedAt_.time_since_epoch();
    const Duration min = std::max(observedMin, minOffset_ - drift(now));
    const Duration max = std::min(observedMax, maxOffset_ + drift(now));
    // Answers that contradict the former bounds show that one of the clocks was set.
    const bool isConsistent = isKnown_ && min <= max;
    minOffset_ = isConsistent ? min : observedMin;
    maxOffset_ = isConsistent ? max : observedMax;
    boundsAt_ = std::max(boundsAt_, now);
    lastAnswerAt_ = std::max(lastAnswerAt_, now);
    isKnown_ = true;
    const bool isNewest = versions_.empty() || (timestamp.version_ > versions_.back().first && timestamp.askedAt_ >= versions_.back().second + versionSpacing);
    if (timestamp.version_ > 0 && isNewest)
        versions_.emplace_back(timestamp.version_, timestamp.askedAt_);
    while (versions_.size() > 1 && versions_.front().second + versionMemory < now)
        versions_.pop_front();
}

std::optional<Time> StoreClock::asOf(std::uint64_t version) const
{
    // An answer shows all changes that were made before it was asked for.
    const auto later = std::upper_bound(versions_.begin(), versions_.end(), version, [](std::uint64_t value, const auto& entry) { return value < entry.first; });
    if (later == versions_.begin())
        return std::nullopt;
    return std::prev(later)->second;
}

std::int64_t StoreClock::earliestMs(Time now) const
{
    return wholeMilliseconds(now.time_since_epoch() + minOffset_ - drift(now));
}

std::int64_t StoreClock::latestMs(Time now) const
{
    return wholeMilliseconds(now.time_since_epoch() + maxOffset_ + drift(now) + clockResolution);
}

Time StoreClock::localTime(std::int64_t storeClockMs, Time now) const
{
    return now - std::chrono::milliseconds(earliestMs(now) - storeClockMs);
}

}
