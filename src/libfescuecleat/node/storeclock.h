#pragma once

#include "node/rowstore.h"

#include <cstdint>

namespace fescuecleat {

/** Bounds on the store's steady clock, from its answers. */
class StoreClock {
public:
    void observe(const StoreMoment&);

    bool isKnown() const { return isKnown_; }
    /** When the store last answered. */
    Time lastAnswer() const { return lastAnswer_; }
    /** The store's clock certainly shows at least this. */
    std::int64_t earliest(Time now) const;
    /** The store's clock certainly shows at most this. */
    std::int64_t latest(Time now) const;
    /** Our time of a moment of the store's clock. */
    Time localTime(std::int64_t storeMs, Time now) const;

private:
    bool isKnown_ = false;
    std::int64_t clockMs_ = 0;
    Time askedAt_ {};
    Time answeredAt_ {};
    Time lastAnswer_ {};
};

}
