#pragma once

#include "base/time.h"
#include "membership/memberrecord.h"

#include <map>
#include <optional>
#include <vector>

namespace fescuecleat {

/** One instance as this one sees it. */
struct MemberView {
    MemberRecord record_;
    /** The instance lived at this moment, as far as is known here; the clock's start if it was never heard. */
    Time heardAt_;
    bool isListed_ = false;
    /** Heard of lately, and not gone. */
    bool isAlive_ = false;
};

/** The instances of all data centres at a moment. */
struct MembershipView {
    InstanceId self_;
    DataCentreId dataCentre_;
    /** By id; this instance included. */
    std::map<InstanceId, MemberView> members_;
    /** When each other data centre was heard of last. */
    std::map<DataCentreId, Time> dataCentres_;
    /** Newest moment of this instance that a peer of its data centre confirmed. */
    Time acknowledgedAt_;
    /** Passes messages to other data centres. */
    bool isGateway_ = false;

    /** Live instances of a data centre, in the order of their ids. */
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
