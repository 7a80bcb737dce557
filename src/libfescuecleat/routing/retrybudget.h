#pragma once

namespace fescuecleat {

/**
 * Bounds retries to a share of successes, so that retries never multiply a
 * burst: each success earns a part of a retry, up to a small reserve.
 */
class RetryBudget {
public:
    void addSuccess();

    /** Takes one retry if the budget allows it. */
    bool tryTake();

    double available() const { return available_; }

private:
    static constexpr double retriesPerSuccess = 0.1;
    static constexpr double largestReserve = 10;

    double available_ = largestReserve;
};

}
