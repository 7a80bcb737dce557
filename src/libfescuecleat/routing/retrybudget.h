#pragma once

namespace fescuecleat {

/**
 * Limits retries to a share of the successes, so that retries don't amplify an
 * overload: each success adds a fraction of a retry, up to a small reserve.
 */
class RetryBudget {
public:
    void addSuccess();

    /** Takes one retry if the budget allows it. */
    bool tryTake();

    double available() const { return available_; }

private:
    static constexpr double retriesPerSuccess = 0.1;
    static constexpr double maxReserve = 10;

    double available_ = maxReserve;
};

}
