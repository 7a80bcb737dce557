#pragma once

#include "base/time.h"
#include "membership/memberrecord.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace fescuecleat {

/** Newest beat that a sender knows of another instance of its data centre. */
struct HeardBeat {
    InstanceId id_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t beat_ = 0;
};

/** State of another data centre by its digest. */
struct SummaryHead {
    DataCentreId dataCentre_;
    std::uint64_t digest_ = 0;
    /** Time since a gateway of that data centre confirmed it. */
    Duration age_ {};
};

/** Sent to every instance of the own data centre. */
struct Heartbeat {
    MemberRecord member_;
    std::vector<HeardBeat> heard_;
    std::vector<SummaryHead> heads_;
};

/** The live members of a data centre. */
struct DataCentreSummary {
    DataCentreId dataCentre_;
    Duration age_ {};
    std::vector<MemberRecord> members_;
};

/** Asks for the whole summary of a data centre. */
struct SummaryPull {
    DataCentreId dataCentre_;
};

/** A number of a minion's slots. */
struct SlotCount {
    MinionId minion_;
    int slots_ = 0;

    bool operator==(const SlotCount& other) const { return std::tie(minion_, slots_) == std::tie(other.minion_, other.slots_); }
};

/** Asks a peer to lend slots for a time that counts from the sending. */
struct LoanRequest {
    std::uint64_t number_ = 0;
    Duration time_ {};
    std::vector<SlotCount> wanted_;
};

/** Lends slots as the request of the same number asked. */
struct LoanGrant {
    std::uint64_t number_ = 0;
    std::vector<SlotCount> granted_;
};

using PeerContent = std::variant<Heartbeat, DataCentreSummary, SummaryPull, LoanRequest, LoanGrant>;

/** A message between two daemons. */
struct PeerMessage {
    InstanceId sender_;
    PeerContent content_;
};

}
