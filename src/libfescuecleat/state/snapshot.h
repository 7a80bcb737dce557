#pragma once

#include "control/configurationrecords.h"
#include "state/jobrecord.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace fescuecleat {

/** Scheduler state of a data centre, from which a scheduler starts while the table can't be read. */
struct Snapshot {
    DataCentreId dataCentre_;
    /** Lease epoch of the scheduler that wrote the snapshot. */
    std::uint64_t epoch_ = 0;
    /** The snapshot contains all changes up to this revision of the table, possibly later ones. */
    std::uint64_t revision_ = 0;
    /** Wall clock in milliseconds since 1970, for display only. */
    std::int64_t takenAtMs_ = 0;
    /** The configuration in force; version 0 if there was none. */
    ConfigurationVersion configuration_;
    std::vector<JobRecord> jobs_;

    bool operator==(const Snapshot& other) const
    {
        return std::tie(dataCentre_, epoch_, revision_, takenAtMs_, configuration_, jobs_)
            == std::tie(other.dataCentre_, other.epoch_, other.revision_, other.takenAtMs_, other.configuration_, other.jobs_);
    }
};

/** Format version of the snapshots written by this program. */
constexpr int snapshotFormat = 1;

std::string writeSnapshot(const Snapshot&);
Result<Snapshot> parseSnapshot(const std::string& text, const std::string& location);

}
