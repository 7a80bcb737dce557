#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>

namespace fescuecleat {

/** Mean and quantiles of recent durations in constant memory; older ones fade. */
class LatencyEstimate {
public:
    void add(Duration);

    /** Samples that still weigh in. */
    double weight() const { return weight_; }

    /** Zero before the first sample. */
    Duration mean() const;

    /** Upper bound of the bucket that holds the quantile; zero before the first sample. */
    Duration quantile(double share) const;

private:
    /** Four buckets for each doubling, from 64 us to over an hour. */
    static constexpr std::size_t bucketCount = 108;

    void fade();

    std::array<float, bucketCount> buckets_ {};
    double weight_ = 0;
    double sum_ = 0;
};

}
