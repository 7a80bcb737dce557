#pragma once

#include "base/id.h"
#include "settings/settings.h"

#include <cstdint>
#include <set>
#include <tuple>

namespace fescuecleat {

/** What an instance tells its peers of its own state. */
struct LocalState {
    /** Version of the configuration in force here. */
    std::uint64_t configurationVersion_ = 0;
    /** Version of the newest word on which data centres are in service. */
    std::uint64_t dataCentreVersion_ = 0;
    /** Newest epoch of the scheduler lease of this data centre, and its holder. */
    std::uint64_t leaseEpoch_ = 0;
    Address leaseHolder_;
    /** Minions that said to this instance that they leave. */
    std::set<MinionId> leavingMinions_;
    /** Digest of the instances between which this one shares slots; 0 before it shares. */
    std::uint64_t shareView_ = 0;

    bool operator==(const LocalState& other) const
    {
        return std::tie(configurationVersion_, dataCentreVersion_, leaseEpoch_, leavingMinions_, shareView_)
            == std::tie(other.configurationVersion_, other.dataCentreVersion_, other.leaseEpoch_, other.leavingMinions_, other.shareView_)
            && leaseHolder_ == other.leaseHolder_;
    }
    bool operator!=(const LocalState& other) const { return !(*this == other); }
};

/** One instance as it described itself last. */
struct MemberRecord {
    InstanceId id_;
    DataCentreId dataCentre_;
    Address peerAddress_;
    /** Grows with each start of the process. */
    std::uint64_t incarnation_ = 0;
    /** Grows with each heartbeat of an incarnation. */
    std::uint64_t beat_ = 0;
    bool isLeaving_ = false;
    LocalState state_;

    bool operator==(const MemberRecord& other) const
    {
        return std::tie(id_, dataCentre_, incarnation_, beat_, isLeaving_, state_)
            == std::tie(other.id_, other.dataCentre_, other.incarnation_, other.beat_, other.isLeaving_, other.state_)
            && peerAddress_ == other.peerAddress_;
    }
    bool operator!=(const MemberRecord& other) const { return !(*this == other); }

    /** True if this describes a later moment of the instance than the other. */
    bool isNewerThan(const MemberRecord& other) const { return std::tie(incarnation_, beat_) > std::tie(other.incarnation_, other.beat_); }
};

}
