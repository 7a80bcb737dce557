#pragma once

#include "base/time.h"
#include "membership/memberrecord.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace fescuecleat {

/** Newest heartbeat that the sender knows of another instance of its data centre. */
struct ReceivedHeartbeat {
    InstanceId id_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0;
};

/** Digest of a data centre's members, by which a receiver notices that its copy is out of date. */
struct SummaryHead {
    DataCentreId dataCentre_;
    std::uint64_t digest_ = 0;
    /** Time since a gateway of that data centre confirmed the digest. */
    Duration age_ {};
};

/** Sent regularly to every instance of the sender's data centre and, as a summary, to gateways of the others. */
struct Heartbeat {
    MemberRecord member_;
    std::vector<ReceivedHeartbeat> received_;
    std::vector<SummaryHead> heads_;
};

/** Full list of the live members of a data centre. */
struct DataCentreSummary {
    DataCentreId dataCentre_;
    Duration age_ {};
    std::vector<MemberRecord> members_;
};

/** Requests the full summary of a data centre. */
struct SummaryPull {
    DataCentreId dataCentre_;
};

/** Number of slots of one minion. */
struct SlotCount {
    MinionId minion_;
    int slots_ = 0;

    bool operator==(const SlotCount& other) const { return std::tie(minion_, slots_) == std::tie(other.minion_, other.slots_); }
};

/** Asks a peer to lend slots for a limited time, which starts when the request is sent. */
struct LoanRequest {
    std::uint64_t number_ = 0;
    Duration duration_ {};
    std::vector<SlotCount> wanted_;
};

/** Grants slots in answer to the request with the same number. */
struct LoanGrant {
    std::uint64_t number_ = 0;
    std::vector<SlotCount> granted_;
};

using PeerContent = std::variant<Heartbeat, DataCentreSummary, SummaryPull, LoanRequest, LoanGrant>;

/** A message between two instances. */
struct PeerMessage {
    InstanceId sender_;
    PeerContent content_;
};

}
