#pragma once

#include "control/configurationrecords.h"
#include "state/jobrecord.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace fescuecleat {

/** What a data centre's scheduler knew at one moment, for a start without the table. */
struct Snapshot {
    DataCentreId dataCentre_;
    /** Epoch of the holder that wrote it. */
    std::uint64_t epoch_ = 0;
    /** Revision of the table that it shows at least. */
    std::uint64_t revision_ = 0;
    /** Wall clock in milliseconds since 1970, for people. */
    std::int64_t takenAt_ = 0;
    /** The configuration in force; version 0 if there was none. */
    ConfigurationVersion configuration_;
    std::vector<JobRecord> jobs_;

    bool operator==(const Snapshot& other) const
    {
        return std::tie(dataCentre_, epoch_, revision_, takenAt_, configuration_, jobs_)
            == std::tie(other.dataCentre_, other.epoch_, other.revision_, other.takenAt_, other.configuration_, other.jobs_);
    }
};

/** Format of snapshots that this program writes. */
constexpr int snapshotFormat = 1;

std::string writeSnapshot(const Snapshot&);
Result<Snapshot> parseSnapshot(const std::string& text, const std::string& location);

}
