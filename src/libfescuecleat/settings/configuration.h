#pragma once

#include "base/id.h"
#include "base/time.h"
#include "scheduler/cell.h"
#include "settings/datacentrecapacity.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace fescuecleat {

/** An organisation, what it is guaranteed in this data centre, and who may act for it. */
struct OrganisationConfiguration {
    OrganisationId id_;
    /** At most one entry for each level, largest level first. */
    std::vector<CellCount> guarantee_;
    /** Weight among borrowers of spare capacity. */
    double weight_ = 1;
    /** Salted hashes of the keys that are valid now; several while a key is rotated. */
    std::vector<std::string> keyHashes_;

    bool operator==(const OrganisationConfiguration& other) const
    {
        return std::tie(id_, guarantee_, weight_, keyHashes_) == std::tie(other.id_, other.guarantee_, other.weight_, other.keyHashes_);
    }
};

/** A service whose minions answer callers' requests. */
struct ServiceConfiguration {
    ServiceId id_;
    int slotsPerMinion_ = 8;
    int connectionsPerMinion_ = 60;

    bool operator==(const ServiceConfiguration& other) const
    {
        return std::tie(id_, slotsPerMinion_, connectionsPerMinion_) == std::tie(other.id_, other.slotsPerMinion_, other.connectionsPerMinion_);
    }
};

/** Limits of the scheduling policy. */
struct SchedulingPolicy {
    /** Time a task gets to write its checkpoint before it is stopped. */
    Duration checkpointTime_ { std::chrono::seconds(30) };
    /** Placements that may fail before a job is refused as one that can't run. */
    int maxAttempts_ = 3;
    /** Age at which a waiting job gets a reservation ahead of newer ones. */
    Duration ageingTime_ { std::chrono::minutes(30) };
    /** Moves for defragmentation that may begin in an hour. */
    int movesPerHour_ = 6;

    bool operator==(const SchedulingPolicy& other) const
    {
        return std::tie(checkpointTime_, maxAttempts_, ageingTime_, movesPerHour_)
            == std::tie(other.checkpointTime_, other.maxAttempts_, other.ageingTime_, other.movesPerHour_);
    }
};

/** What operators decided for one data centre: the base merged with its overlay. */
struct Configuration {
    /** What the guarantees were checked against. */
    DataCentreCapacity capacity_;
    std::vector<OrganisationConfiguration> organisations_;
    std::vector<ServiceConfiguration> services_;
    std::vector<std::string> operatorKeyHashes_;
    SchedulingPolicy policy_;

    bool operator==(const Configuration& other) const
    {
        return std::tie(capacity_, organisations_, services_, operatorKeyHashes_, policy_)
            == std::tie(other.capacity_, other.organisations_, other.services_, other.operatorKeyHashes_, other.policy_);
    }
    bool operator!=(const Configuration& other) const { return !(*this == other); }
};

}
