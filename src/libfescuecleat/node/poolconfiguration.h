#pragma once

#include "base/time.h"
#include "pool/jobpolicy.h"
#include "pool/organisationpolicy.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace fescuecleat {

/** A queue that callers submit to, selected by host and path prefix. */
struct QueueConfiguration {
    std::string name_;
    std::string host_;
    std::string prefix_;
    std::string service_;
    int priority_ = 0;
    int maxAttempts_ = 1;
    double stretch_ = 1;
    Duration latencyTarget_ {};
    /** Requests need no API key. */
    bool isPublic_ = false;
    bool needsAdvice_ = false;
};

/** An organisation with its API keys, its guarantee, its weight and its limit. */
struct PoolOrganisationConfiguration {
    std::string name_;
    std::vector<std::string> keys_;
    std::int64_t guaranteedAccelerators_ = 0;
    OrganisationPolicy policy_ {};
};

/** One version of the operator's configuration. */
struct PoolConfiguration {
    std::uint64_t version_ = 0;
    std::vector<QueueConfiguration> queues_;
    /** The services that the configuration names, also those without a queue. */
    std::set<std::string> services_;
    std::vector<PoolOrganisationConfiguration> organisations_;
    std::uint32_t maxHeaderBytes_ = 16384;
    std::uint64_t maxBodyBytes_ = 262144;
    Duration requestTimeout_ = std::chrono::seconds(3);
    Duration idleTimeout_ = std::chrono::seconds(15);

    /** The queue of the host with the longest matching path prefix; null if there is none. */
    const QueueConfiguration* findQueue(const std::string& host, const std::string& path) const;
    /** The organisation with this API key; null if there is none. */
    const PoolOrganisationConfiguration* findByKey(const std::string& key) const;
    /** The weights and limits of the organisations, by name. */
    std::map<std::string, OrganisationPolicy> organisationPolicies() const;
};

/** Closes a data centre to new starts, or opens it again. */
struct DataCentreClosure {
    std::string dataCentre_;
    bool isClosed_ = false;
};

/** An operator row that doesn't concern the pool daemon. */
struct IgnoredRow {
};

/** An operator row that can't be decoded. */
struct UnreadableRow {
    std::string reason_;
};

using OperatorChange = std::variant<IgnoredRow, UnreadableRow, PoolConfiguration, DataCentreClosure>;

}
