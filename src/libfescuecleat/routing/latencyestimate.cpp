#include "routing/latencyestimate.h"

#include <algorithm>
#include <cmath>

namespace fescuecleat {

namespace {

    constexpr double firstBucketMicroseconds = 64;
    constexpr double bucketsPerDoubling = 4;
    /** All weights are halved when their sum reaches this. */
    constexpr double maxWeight = 2000;

    std::size_t bucketOf(Duration duration, std::size_t count)
    {
        const double ratio = static_cast<double>(duration.count()) / firstBucketMicroseconds;
        if (ratio <= 1)
            return 0;
        const auto bucket = static_cast<std::size_t>(std::ceil(std::log2(ratio) * bucketsPerDoubling));
        return std::min(bucket, count - 1);
    }

    Duration upperBound(std::size_t bucket)
    {
        const double bound = firstBucketMicroseconds * std::exp2(static_cast<double>(bucket) / bucketsPerDoubling);
        return Duration(static_cast<Duration::rep>(bound));
    }

}

void LatencyEstimate::add(Duration duration)
{
    buckets_[bucketOf(duration, bucketCount)] += 1;
    weight_ += 1;
    sum_ += static_cast<double>(duration.count());
    if (weight_ >= maxWeight)
        decay();
}

Duration LatencyEstimate::mean() const
{
    if (weight_ == 0)
        return Duration::zero();
    return Duration(static_cast<Duration::rep>(sum_ / weight_));
}

Duration LatencyEstimate::quantile(double share) const
{
    if (weight_ == 0)
        return Duration::zero();
    double below = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        below += buckets_[bucket];
        if (below >= share * weight_)
            return upperBound(bucket);
    }
    return upperBound(bucketCount - 1);
}

void LatencyEstimate::decay()
{
    for (float& bucket : buckets_)
        bucket /= 2;
    weight_ /= 2;
    sum_ /= 2;
}

}
