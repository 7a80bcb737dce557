#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>

namespace fescuecleat {

/** Estimates mean and quantiles of recent durations in constant memory; older samples decay. */
class LatencyEstimate {
public:
    void add(Duration);

    /** Number of samples, with decay. */
    double weight() const { return weight_; }

    /** Zero before the first sample. */
    Duration mean() const;

    /** Upper bound of the bucket that holds the quantile; zero before the first sample. */
    Duration quantile(double share) const;

private:
    /** Four buckets per doubling cover 64 us to more than an hour. */
    static constexpr std::size_t bucketCount = 108;

    void decay();

    std::array<float, bucketCount> buckets_ {};
    double weight_ = 0;
    double sum_ = 0;
};

}
