#pragma once

#include "base/time.h"
#include "membership/memberrecord.h"

#include <map>
#include <optional>
#include <vector>

namespace fescuecleat {

/** An instance as seen by this one. */
struct MemberView {
    MemberRecord record_;
    /** Last known sign of life, direct or relayed; the clock's epoch if there was none. */
    Time lastHeardAt_;
    bool isListed_ = false;
    /** True if the newest sign of life is within the timeout. */
    bool isAlive_ = false;
};

/** Snapshot of the instances of all data centres. */
struct MembershipView {
    InstanceId self_;
    DataCentreId dataCentre_;
    /** Includes this instance. */
    std::map<InstanceId, MemberView> members_;
    /** When each remote data centre was last confirmed as reachable. */
    std::map<DataCentreId, Time> dataCentreConfirmedAt_;
    /** Send time of the newest own heartbeat that a peer of this data centre acknowledged. */
    Time acknowledgedAt_;
    /** True if this instance exchanges summaries with other data centres. */
    bool isGateway_ = false;

    /** Live instances of a data centre, sorted by id. */
    std::vector<MemberView> aliveIn(const DataCentreId& dataCentre) const
    {
        std::vector<MemberView> alive;
        for (const auto& [id, member] : members_) {
            if (member.isAlive_ && member.record_.dataCentre_ == dataCentre)
                alive.push_back(member);
        }
        return alive;
    }
};

}
