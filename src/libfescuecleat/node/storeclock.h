#pragma once

#include "node/rowstore.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace fescuecleat {

/**
 * Bounds on the store's steady clock. Each answer bounds the difference to the local
 * clock; the bounds of successive answers are intersected and widen with possible drift.
 */
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
    /** A local time before which all changes have at most this version, as recent answers show; nothing if none does. */
    std::optional<Time> asOf(std::uint64_t version) const;

private:
    /** How far the clocks may have drifted apart since the bounds were computed. */
    Duration drift(Time now) const;

    bool isKnown_ = false;
    /** Bounds of the store's clock minus the local clock, as of `boundsAt_`. */
    Duration minOffset_ {};
    Duration maxOffset_ {};
    Time boundsAt_ {};
    Time lastAnswerAt_ {};
    /** Newest versions of the store and when they were asked for, both increasing. */
    std::deque<std::pair<std::uint64_t, Time>> versions_;
};

}
