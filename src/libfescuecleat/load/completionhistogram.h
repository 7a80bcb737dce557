#pragma once

#include "base/time.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <tuple>

namespace fescuecleat {

/** Completion times in narrow logarithmic buckets, for quantiles that two runs can be compared by. */
class CompletionHistogram {
public:
    CompletionHistogram();

    void record(Duration);
    std::uint64_t count() const { return count_; }

    /** Upper bound in seconds of the bucket that holds the share, 0 to 1; zero if nothing was recorded. */
    double quantile(double share) const;

private:
    using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<LogAxis>, boost::histogram::dense_storage<std::uint64_t>> histogram_;
    std::uint64_t count_ = 0;
};

}
