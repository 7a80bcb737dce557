#pragma once

#include "base/id.h"
#include "base/result.h"
#include "base/time.h"
#include "settings/settings.h"

#include <string>
#include <tuple>
#include <vector>

namespace fescuecleat {

/** Kind of a listed instance. */
enum class InstanceRole {
    Entry,
    Worker,
    Minion,
};

/** One entry of the platform's instance list. */
struct ListedInstance {
    std::string id_;
    InstanceRole role_ = InstanceRole::Entry;
    DataCentreId dataCentre_;
    /** HTTP address; for entry instances the address for callers. */
    Address address_;
    /** ZeroMQ address; entry instances only. */
    Address peerAddress_;
    /** Service of a minion, rack of a worker; empty for entry instances. */
    std::string group_;
    bool isLeaving_ = false;

    bool operator==(const ListedInstance& other) const
    {
        return std::tie(id_, role_, dataCentre_, group_, isLeaving_) == std::tie(other.id_, other.role_, other.dataCentre_, other.group_, other.isLeaving_)
            && address_ == other.address_ && peerAddress_ == other.peerAddress_;
    }
};

/** The platform's list of instances. It lags behind the actual state by seconds. Thread-safe. */
class InstanceList {
public:
    virtual ~InstanceList() = default;

    /** The current list. Errors: Unavailable. */
    virtual Result<std::vector<ListedInstance>> instances(Time deadline) = 0;
};

}
