#include "load/completionhistogram.h"

#include <algorithm>
#include <cmath>

namespace fescuecleat {

namespace {

    constexpr double leastSeconds = 1e-4;
    constexpr double mostSeconds = 1e4;
    /** A hundred buckets to each power of ten: neighbours differ by 2.3%. */
    constexpr unsigned buckets = 8 * 100;

}

CompletionHistogram::CompletionHistogram()
    : histogram_(LogAxis(buckets, leastSeconds, mostSeconds))
{
}

void CompletionHistogram::record(Duration latency)
{
    const double seconds = std::chrono::duration<double>(latency).count();
    histogram_(std::clamp(seconds, leastSeconds, mostSeconds * 0.999));
    ++count_;
}

double CompletionHistogram::quantile(double share) const
{
    const auto rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count_))));
    std::uint64_t sum = 0;
    for (const auto& bucket : boost::histogram::indexed(histogram_)) {
        sum += *bucket;
        if (sum >= rank)
            return bucket.bin().upper();
    }
    return 0;
}

}
