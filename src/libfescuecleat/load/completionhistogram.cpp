#include "load/completionhistogram.h"

#include <algorithm>
#include <cmath>

namespace fescuecleat {

namespace {

    constexpr double minSeconds = 1e-4;
    constexpr double maxSeconds = 1e4;
    /** 100 buckets per decade; bucket edges are 2.3% apart. */
    constexpr unsigned bucketCount = 8 * 100;

}

CompletionHistogram::CompletionHistogram()
    : histogram_(LogAxis(bucketCount, minSeconds, maxSeconds))
{
}

void CompletionHistogram::record(Duration latency)
{
    const double seconds = std::chrono::duration<double>(latency).count();
    // A value on the upper edge would fall into the overflow bucket.
    histogram_(std::clamp(seconds, minSeconds, maxSeconds * 0.999));
    ++count_;
}

double CompletionHistogram::quantile(double probability) const
{
    const auto rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(probability * static_cast<double>(count_))));
    std::uint64_t sum = 0;
    for (const auto& bucket : boost::histogram::indexed(histogram_)) {
        sum += *bucket;
        if (sum >= rank)
            return bucket.bin().upper();
    }
    return 0;
}

}
