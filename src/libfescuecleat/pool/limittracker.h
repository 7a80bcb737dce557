#pragma once

#include "pool/placementrequest.h"
#include "pool/poolstate.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace fescuecleat {

/** Applies the limits of organisations during one scheduling pass, and notes which of them wait because of theirs. */
class LimitTracker {
public:
    explicit LimitTracker(PoolState& state)
        : state_(state)
    {
    }

    /** The resource whose limit keeps the unit from starting beside the other runs of its organisation and what is reserved. */
    std::optional<ResourceKind> exceededBy(const Job&, const PlacementRequest&) const;
    /** Whether the unit would fit if the organisation had no other runs. */
    bool canEverFit(const Job&, const PlacementRequest&) const;
    /** Whether the unit would fit if only the organisation's runs that don't end by themselves were left. */
    bool canFitBesideLasting(const Job&, const PlacementRequest&) const;
    /** Keeps room within the limit for a unit that waits, so that less important units of its organisation don't take it. */
    void reserve(const Job&, const PlacementRequest&);
    Resources reserved(const std::string& organisation) const;
    /** Notes that only its limit keeps a unit of the job from being placed. */
    void noteBlocked(const Job&, ResourceKind);
    /** Publishes which organisations wait, and the changes. A pass that ended early may not have come to all that do. */
    void publish(bool isPassComplete);

private:
    struct Blocked {
        ResourceKind resource_ {};
        std::set<const Job*> jobs_;
    };

    LimitChange changeOf(const std::string& organisation, ResourceKind, bool isWaiting) const;

    PoolState& state_;
    std::map<std::string, Resources> reserved_;
    std::map<std::string, Blocked> blocked_;
};

}
