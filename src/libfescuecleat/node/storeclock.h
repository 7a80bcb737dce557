#pragma once

#include "node/rowstore.h"

#include <cstdint>

namespace fescuecleat {

/** Computes bounds on the store's steady clock from the store's answers. */
class StoreClock {
public:
    void observe(const StoreTimestamp&);

    bool isKnown() const { return isKnown_; }
    /** Local time of the store's last answer. */
    Time lastAnswerAt() const { return lastAnswerAt_; }
    /** Lower bound of the store's clock. */
    std::int64_t earliestMs(Time now) const;
    /** Upper bound of the store's clock. */
    std::int64_t latestMs(Time now) const;
    /** Latest local time that corresponds to a time of the store's clock. */
    Time localTime(std::int64_t storeClockMs, Time now) const;

private:
    bool isKnown_ = false;
    std::int64_t clockMs_ = 0;
    Time askedAt_ {};
    Time answeredAt_ {};
    Time lastAnswerAt_ {};
};

}
