#pragma once

#include "base/time.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <tuple>

namespace fescuecleat {

/** Histogram of completion times in logarithmic buckets, narrow enough to compare quantiles of two runs. */
class CompletionHistogram {
public:
    CompletionHistogram();

    void record(Duration);
    std::uint64_t count() const { return count_; }

    /** Quantile in seconds (upper edge of its bucket) for a probability from 0 to 1; 0 if nothing was recorded. */
    double quantile(double probability) const;

private:
    using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<LogAxis>, boost::histogram::dense_storage<std::uint64_t>> histogram_;
    std::uint64_t count_ = 0;
};

}
