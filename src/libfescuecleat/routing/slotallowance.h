#pragma once

#include "base/time.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace fescuecleat {

/** Slots borrowed from a peer until a moment. */
struct SlotLoan {
    int slots_ = 0;
    Time until_;

    bool operator==(const SlotLoan& other) const { return std::tie(slots_, until_) == std::tie(other.slots_, other.until_); }
};

/** The slots of one minion that this instance may use. */
struct SlotAllowance {
    /** Of this instance itself, less what it lent. */
    int own_ = 0;
    /** The own slots may be used until here. */
    Time ownUntil_ = Time::max();
    std::vector<SlotLoan> loans_;

    /** Slots that may still be in use at a moment. */
    int slotsAt(Time moment) const
    {
        int slots = moment < ownUntil_ ? own_ : 0;
        for (const SlotLoan& loan : loans_) {
            if (moment < loan.until_)
                slots += loan.slots_;
        }
        return slots;
    }
};

/**
 * True if an attempt that ends at `attemptEnd` fits beside those that end at
 * `busyUntil`, now and at each moment at which a loan lapses before its end.
 */
inline bool hasRoom(const SlotAllowance& allowance, const std::vector<Time>& busyUntil, Time attemptEnd, Time now)
{
    const auto fits = [&](Time moment) {
        const auto busy = std::count_if(busyUntil.begin(), busyUntil.end(), [&](Time end) { return end > moment; });
        return busy + 1 <= allowance.slotsAt(moment);
    };
    if (!fits(now))
        return false;
    return std::all_of(allowance.loans_.begin(), allowance.loans_.end(),
        [&](const SlotLoan& loan) { return loan.until_ <= now || loan.until_ >= attemptEnd || fits(loan.until_); });
}

}
