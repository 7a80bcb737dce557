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

/** An organisation with its guaranteed cells in this data centre and its API keys. */
struct OrganisationConfiguration {
    OrganisationId id_;
    /** At most one entry per level, largest level first. */
    std::vector<CellCount> guarantee_;
    /** Relative share when several organisations borrow spare capacity. */
    double weight_ = 1;
    /** Salted hashes of the valid keys; more than one during key rotation. */
    std::vector<std::string> keyHashes_;

    bool operator==(const OrganisationConfiguration& other) const
    {
        return std::tie(id_, guarantee_, weight_, keyHashes_) == std::tie(other.id_, other.guarantee_, other.weight_, other.keyHashes_);
    }
};

/** A service whose minions handle callers' requests. */
struct ServiceConfiguration {
    ServiceId id_;
    int slotsPerMinion_ = 8;
    int connectionsPerMinion_ = 60;

    bool operator==(const ServiceConfiguration& other) const
    {
        return std::tie(id_, slotsPerMinion_, connectionsPerMinion_) == std::tie(other.id_, other.slotsPerMinion_, other.connectionsPerMinion_);
    }
};

/** Tunable limits of the scheduler. */
struct SchedulingPolicy {
    /** Time that a task is given to write a checkpoint before it is stopped. */
    Duration checkpointTimeout_ { std::chrono::seconds(30) };
    /** Failed placements after which a job is rejected as unrunnable. */
    int maxAttempts_ = 3;
    /** Waiting time after which a job gets a reservation ahead of newer jobs. */
    Duration ageingThreshold_ { std::chrono::minutes(30) };
    /** Maximum number of defragmentation moves started per hour. */
    int movesPerHour_ = 6;

    bool operator==(const SchedulingPolicy& other) const
    {
        return std::tie(checkpointTimeout_, maxAttempts_, ageingThreshold_, movesPerHour_)
            == std::tie(other.checkpointTimeout_, other.maxAttempts_, other.ageingThreshold_, other.movesPerHour_);
    }
};

/** The configuration of one data centre: the base merged with its overlay. */
struct Configuration {
    /** Declared capacity that the guarantees were validated against. */
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
