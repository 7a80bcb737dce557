#pragma once

#include "pool/unitid.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace fescuecleat {

/** Why nothing was stopped for an urgent unit that found no room. */
enum class DeclineCause {
    /** Enough room becomes free by itself in time. */
    RoomFreesInTime,
    /** The unit would miss its target even if others were stopped for it. */
    LateAnyway,
    /** Others would lose more work than the unit brings. */
    LosesTooMuch,
};

/** Counts what preemption costs, and how often it was declined. */
class PreemptionAccount {
public:
    using DeclinedCounts = std::array<std::uint64_t, 3>;

    void unitStopped(double lostCoreSeconds)
    {
        ++stoppedUnits_;
        lostCoreSeconds_ += lostCoreSeconds;
    }

    /** Counts a unit once for as long as the cause stays the same in successive passes. */
    void declined(const std::string& job, const UnitId& unit, DeclineCause cause)
    {
        const auto known = previous_.find({ job, unit });
        if ((known == previous_.end() || known->second != cause) && current_.count({ job, unit }) == 0)
            ++declined_[static_cast<std::size_t>(cause)];
        current_[{ job, unit }] = cause;
    }

    /** Ends a scheduling pass; one that is incomplete has not looked at all units. */
    void endPass(bool isComplete)
    {
        if (!isComplete)
            current_.insert(previous_.begin(), previous_.end());
        previous_ = std::exchange(current_, {});
    }

    std::uint64_t stoppedUnits() const { return stoppedUnits_; }
    /** Work that stopped units lost, and the time of their stops and restores. */
    double lostCoreSeconds() const { return lostCoreSeconds_; }
    /** Units for which nothing was stopped, by DeclineCause. */
    const DeclinedCounts& declinedCounts() const { return declined_; }

private:
    using Declined = std::map<std::pair<std::string, UnitId>, DeclineCause>;

    std::uint64_t stoppedUnits_ = 0;
    double lostCoreSeconds_ = 0;
    DeclinedCounts declined_ {};
    Declined previous_;
    Declined current_;
};

}
