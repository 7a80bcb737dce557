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

/** Counts at one moment, added up over all shards. */
struct LatencySnapshot {
    /** Upper bounds of the buckets in seconds, rising; what lies above the last is only in `count_`. */
    std::vector<double> upperBounds_;
    /** Latencies at or below each bound. */
    std::vector<std::uint64_t> cumulative_;
    std::uint64_t count_ = 0;
    double sumSeconds_ = 0;

    /** Upper bound of the bucket that holds the share, 0 to 1, of the latencies; zero if there are none. */
    double quantile(double share) const;
};

/** Latencies in buckets of equal ratio from 0.1 ms to 1000 s. Thread-safe; each shard has its own lock. */
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

    std::array<Shard, telemetryShards> shards_;
};

}
