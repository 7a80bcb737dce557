#include "telemetry/latencyhistogram.h"

#include <cmath>

namespace fescuecleat {

namespace {

    constexpr double minSeconds = 1e-4;
    constexpr double maxSeconds = 1e3;
    /** Eight buckets per decade; adjacent bounds differ by a factor of 1.33. */
    constexpr unsigned bucketCount = 7 * 8;

    double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}

double LatencySnapshot::quantile(double fraction) const
{
    if (count_ == 0)
        return 0;
    const auto rank = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(count_)));
    for (std::size_t i = 0; i < cumulativeCounts_.size(); ++i) {
        if (cumulativeCounts_[i] >= rank && cumulativeCounts_[i] > 0)
            return upperBounds_[i];
    }
    return maxSeconds;
}

LatencyHistogram::LatencyHistogram() = default;

LatencyHistogram::Histogram LatencyHistogram::makeHistogram()
{
    return Histogram(LogAxis(bucketCount, minSeconds, maxSeconds));
}

LatencyHistogram::Shard::Shard()
    : histogram_(makeHistogram())
{
}

void LatencyHistogram::record(Duration latency)
{
    const double seconds = toSeconds(latency);
    Shard& shard = shards_[threadShardIndex()];
    const std::lock_guard<std::mutex> lock(shard.mutex_);
    shard.histogram_(seconds);
    shard.sumSeconds_ += seconds;
}

LatencySnapshot LatencyHistogram::snapshot() const
{
    Histogram sum = makeHistogram();
    LatencySnapshot snapshot;
    for (const Shard& shard : shards_) {
        const std::lock_guard<std::mutex> lock(shard.mutex_);
        sum += shard.histogram_;
        snapshot.sumSeconds_ += shard.sumSeconds_;
    }
    const LogAxis& axis = sum.axis();
    // Index -1 is the underflow bucket.
    snapshot.count_ = sum.at(-1);
    snapshot.upperBounds_.push_back(minSeconds);
    snapshot.cumulativeCounts_.push_back(snapshot.count_);
    for (int i = 0; i < axis.size(); ++i) {
        snapshot.count_ += sum.at(i);
        snapshot.upperBounds_.push_back(axis.bin(i).upper());
        snapshot.cumulativeCounts_.push_back(snapshot.count_);
    }
    snapshot.count_ += sum.at(axis.size());
    return snapshot;
}

}
