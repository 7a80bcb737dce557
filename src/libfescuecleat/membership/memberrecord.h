#pragma once

#include "base/id.h"
#include "settings/settings.h"

#include <cstdint>
#include <set>
#include <tuple>

namespace fescuecleat {

/** State that an instance publishes to its peers. */
struct LocalState {
    /** Version of the configuration that this instance applies. */
    std::uint64_t configurationVersion_ = 0;
    /** Version of the newest record of which data centres are in service. */
    std::uint64_t dataCentreVersion_ = 0;
    /** Newest known epoch of the scheduler lease of this data centre, and its holder. */
    std::uint64_t leaseEpoch_ = 0;
    Address leaseHolder_;
    /** Minions that announced their shutdown to this instance. */
    std::set<MinionId> leavingMinions_;
    /** Digest of the set of instances that share slots, as this one sees it; 0 before it takes part. */
    std::uint64_t participantsDigest_ = 0;

    bool operator==(const LocalState& other) const
    {
        return std::tie(configurationVersion_, dataCentreVersion_, leaseEpoch_, leavingMinions_, participantsDigest_)
            == std::tie(other.configurationVersion_, other.dataCentreVersion_, other.leaseEpoch_, other.leavingMinions_, other.participantsDigest_)
            && leaseHolder_ == other.leaseHolder_;
    }
    bool operator!=(const LocalState& other) const { return !(*this == other); }
};

/** The newest self-description of an instance. */
struct MemberRecord {
    InstanceId id_;
    DataCentreId dataCentre_;
    Address peerAddress_;
    /** Increases with each start of the process. */
    std::uint64_t incarnation_ = 0;
    /** Number of the heartbeat within the incarnation, from 1. */
    std::uint64_t sequence_ = 0;
    bool isLeaving_ = false;
    LocalState state_;

    bool operator==(const MemberRecord& other) const
    {
        return std::tie(id_, dataCentre_, incarnation_, sequence_, isLeaving_, state_)
            == std::tie(other.id_, other.dataCentre_, other.incarnation_, other.sequence_, other.isLeaving_, other.state_)
            && peerAddress_ == other.peerAddress_;
    }
    bool operator!=(const MemberRecord& other) const { return !(*this == other); }

    /** True if this record was sent after the other one. */
    bool isNewerThan(const MemberRecord& other) const { return std::tie(incarnation_, sequence_) > std::tie(other.incarnation_, other.sequence_); }
};

}
