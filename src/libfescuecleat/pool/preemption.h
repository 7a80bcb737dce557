#pragma once

#include "pool/placementview.h"
#include "pool/poolstate.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace fescuecleat {

/** The cause of stops that make room for a job. */
std::string preemptionCause(const std::string& job);

/** Selects running units to stop for more important ones, during one scheduling pass. */
class Preemption {
public:
    /** A running unit that may be stopped. */
    struct Victim {
        Job* job_;
        UnitId unit_;
        int rank_;
        /** Work lost if it is stopped, in core-seconds. */
        double cost_;
        Duration freeAfter_ {};
        /** Its runs that aren't being stopped yet, by index of the worker's entry. */
        std::vector<std::pair<std::size_t, Resources>> runs_ {};
        bool isTaken_ = false;
    };

    struct Plan {
        std::vector<std::size_t> victims_;
        double cost_ = 0;
        /** Time until the last of the victims has been stopped. */
        Duration freeAfter_ {};
    };

    Preemption(PoolState&, const PlacementView&, std::function<int(const Job&)> rankOf, Time now);

    /** The cheapest victims of higher rank values than `rank` whose stop makes the request fit; nothing if none suffice. */
    std::optional<Plan> plan(const PlacementRequest&, int rank);
    const Victim& victim(std::size_t index) const { return victims_[index]; }
    /** Indexes of all victims, cheapest first. */
    const std::vector<std::size_t>& byCost() const { return allVictims_; }
    /** Excludes a victim from further plans, because it is being stopped. */
    void take(std::size_t index) { victims_[index].isTaken_ = true; }

private:
    void collectVictims(PoolState&);
    std::optional<Plan> planWithin(const PlacementRequest&, int rank, const std::vector<std::size_t>& entries, const std::vector<std::size_t>& victims, double maxCost);

    const PlacementView& view_;
    std::function<int(const Job&)> rankOf_;
    Time now_;
    std::vector<Victim> victims_;
    /** Indexes of the victims with runs in each rack, and of all victims, cheapest first. */
    std::vector<std::vector<std::size_t>> victimsByRack_;
    std::vector<std::size_t> allVictims_;
    std::vector<std::size_t> allEntries_;
};

}
