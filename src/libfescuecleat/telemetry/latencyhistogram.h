#pragma once

#include "base/time.h"
#include "telemetry/threadshard.h"

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <mutex>
#include <tuple>
#include <vector>

namespace fescuecleat {

/** The state of a histogram at one point in time, summed over all shards. */
struct LatencySnapshot {
    /** Upper bounds of the buckets in seconds, ascending. Larger latencies are only included in `count_`. */
    std::vector<double> upperBounds_;
    /** Number of latencies at or below each bound. */
    std::vector<std::uint64_t> cumulativeCounts_;
    std::uint64_t count_ = 0;
    double sumSeconds_ = 0;

    /** Returns the quantile for a fraction from 0 to 1 in seconds, rounded up to a bucket bound; zero without latencies. */
    double quantile(double fraction) const;
};

/** A latency histogram with logarithmic buckets from 0.1 ms to 1000 s. Thread-safe; each shard has its own lock. */
class LatencyHistogram {
public:
    LatencyHistogram();

    void record(Duration);
    LatencySnapshot snapshot() const;

private:
    using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<LogAxis>, boost::histogram::dense_storage<std::uint64_t>>;

    static Histogram makeHistogram();

    struct alignas(64) Shard {
        Shard();
        mutable std::mutex mutex_;
        Histogram histogram_;
        double sumSeconds_ = 0;
    };

    std::array<Shard, telemetryShardCount> shards_;
};

}
