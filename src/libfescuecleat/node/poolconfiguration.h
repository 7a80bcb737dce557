#pragma once

#include "base/time.h"
#include "pool/jobpolicy.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fescuecleat {

/** A queue that callers submit to: a host and a path prefix. */
struct QueueConfiguration {
    std::string name_;
    std::string host_;
    std::string prefix_;
    std::string service_;
    int priority_ = 0;
    int maxAttempts_ = 1;
    double stretch_ = 1;
    Duration latencyTarget_ {};
    /** Calls need no key. */
    bool isPublic_ = false;
    bool needsAdvice_ = false;
};

struct PoolOrganisationConfiguration {
    std::string name_;
    std::vector<std::string> keys_;
    std::int64_t guaranteedAccelerators_ = 0;
};

/** One version of what the operator wants. */
struct PoolConfiguration {
    std::uint64_t version_ = 0;
    std::vector<QueueConfiguration> queues_;
    std::vector<PoolOrganisationConfiguration> organisations_;
    std::uint32_t maxHeaderBytes_ = 16384;
    std::uint64_t maxBodyBytes_ = 262144;
    Duration requestTimeLimit_ = std::chrono::seconds(3);
    Duration idleTimeLimit_ = std::chrono::seconds(15);

    /** The queue with the longest prefix that the path begins with. */
    const QueueConfiguration* findQueue(const std::string& host, const std::string& path) const;
    const PoolOrganisationConfiguration* findByKey(const std::string& key) const;
};

/** Nothing is to be started in a data centre, or it is taken back. */
struct DataCentreClosure {
    std::string dataCentre_;
    bool isClosed_ = false;
};

/** A row of the operator's that we have no use for. */
struct IgnoredRow {
};

/** A row of the operator's that can't be read. */
struct UnreadableRow {
    std::string reason_;
};

using OperatorChange = std::variant<IgnoredRow, UnreadableRow, PoolConfiguration, DataCentreClosure>;

}
