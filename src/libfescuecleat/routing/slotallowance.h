#pragma once

#include "base/time.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace fescuecleat {

/** Slots borrowed from a peer for a limited time. */
struct SlotLoan {
    int slots_ = 0;
    Time expiresAt_;

    bool operator==(const SlotLoan& other) const { return std::tie(slots_, expiresAt_) == std::tie(other.slots_, other.expiresAt_); }
};

/** The slots of one minion that this instance may use. */
struct SlotAllowance {
    /** The instance's share minus the slots it lent. */
    int ownSlots_ = 0;
    /** When the own slots expire. */
    Time ownExpiresAt_ = Time::max();
    std::vector<SlotLoan> loans_;

    /** Number of slots that may be used at `moment`. */
    int slotsAt(Time moment) const
    {
        int slots = moment < ownExpiresAt_ ? ownSlots_ : 0;
        for (const SlotLoan& loan : loans_) {
            if (moment < loan.expiresAt_)
                slots += loan.slots_;
        }
        return slots;
    }
};

/**
 * True if there is a slot for an attempt that ends at `attemptEnd`, in addition
 * to attempts that end at `busyUntil`. Checked for now and for each loan that
 * expires before `attemptEnd`.
 */
inline bool hasFreeSlot(const SlotAllowance& allowance, const std::vector<Time>& busyUntil, Time attemptEnd, Time now)
{
    const auto fits = [&](Time moment) {
        const auto busy = std::count_if(busyUntil.begin(), busyUntil.end(), [&](Time end) { return end > moment; });
        return busy + 1 <= allowance.slotsAt(moment);
    };
    if (!fits(now))
        return false;
    return std::all_of(allowance.loans_.begin(), allowance.loans_.end(),
        [&](const SlotLoan& loan) { return loan.expiresAt_ <= now || loan.expiresAt_ >= attemptEnd || fits(loan.expiresAt_); });
}

}
