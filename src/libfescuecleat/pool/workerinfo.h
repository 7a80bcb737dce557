#pragma once

#include "base/time.h"
#include "net/socketaddress.h"
#include "pool/resources.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace fescuecleat {

/** One incarnation of a worker, which keeps no state across restarts. */
struct WorkerKey {
    std::string id_;
    std::int64_t startedUnixMs_ = 0;

    bool operator==(const WorkerKey& other) const { return std::tie(id_, startedUnixMs_) == std::tie(other.id_, other.startedUnixMs_); }
    bool operator!=(const WorkerKey& other) const { return !(*this == other); }
    bool operator<(const WorkerKey& other) const { return std::tie(id_, startedUnixMs_) < std::tie(other.id_, other.startedUnixMs_); }
};

/** A worker's entry in the registry. */
struct WorkerInfo {
    WorkerKey key_;
    std::string machine_;
    std::string service_;
    std::string dataCentre_;
    std::string rack_;
    std::vector<std::string> labels_;
    SocketAddress endpoint_;
    Resources capacity_;
    bool isDraining_ = false;
    /** Minimum time until a draining worker leaves. Changes with every update, so operator== ignores it. */
    Duration leavesIn_ {};

    bool operator==(const WorkerInfo& other) const
    {
        return std::tie(key_, machine_, service_, dataCentre_, rack_, labels_, endpoint_, capacity_, isDraining_)
            == std::tie(other.key_, other.machine_, other.service_, other.dataCentre_, other.rack_, other.labels_, other.endpoint_, other.capacity_, other.isDraining_);
    }
    bool operator!=(const WorkerInfo& other) const { return !(*this == other); }

    bool hasLabel(const std::string& label) const
    {
        return std::find(labels_.begin(), labels_.end(), label) != labels_.end();
    }
};

}
