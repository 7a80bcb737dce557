#pragma once

#include "control/configurationrecords.h"
#include "control/leasefence.h"
#include "platform/table.h"
#include "platform/writeids.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace fescuecleat {

/** A validated configuration to be written as the next version. */
struct ConfigurationChange {
    /** Version that the change replaces; the write fails if it is not the newest any more. */
    std::uint64_t basedOn_ = 0;
    std::string by_;
    std::string reason_;
    std::string base_;
    std::map<DataCentreId, std::string> overlays_;
};

/** The change is durable and will be applied by every reachable data centre. */
struct ConfigurationWritten {
    std::uint64_t version_ = 0;
};

/** Another change was written first; this one had no effect. */
struct ConfigurationConflict {
    ConfigurationHead current_;
};

using ConfigurationOutcome = std::variant<ConfigurationWritten, ConfigurationConflict>;

/** Roll-out of the newest configuration over the data centres. */
struct ConfigurationProgress {
    ConfigurationHead head_;
    /** Confirmed version of each data centre; 0 if it never confirmed one. */
    std::map<DataCentreId, std::uint64_t> inForce_;

    /** Data centres that have not confirmed the version. */
    std::vector<DataCentreId> missing(std::uint64_t version) const;
    /** True if every data centre has confirmed the version: 'accepted', otherwise 'pending'. */
    bool isAccepted(std::uint64_t version) const { return missing(version).empty(); }
};

/** Reads and writes the durable configuration. Its version row is changed only by compare-and-set. Thread-safe. */
class ConfigurationControl {
public:
    /** Table and write ids must outlive this object. */
    ConfigurationControl(Table&, WriteIds&);

    /** Head of the newest configuration; version 0 if there is none. Errors: Unavailable. */
    Result<ConfigurationHead> head(Time deadline);

    /** One version with its content. Errors: NotFound, Unavailable. */
    Result<ConfigurationVersion> load(std::uint64_t version, Time deadline);

    /**
     * Writes the change as the next version. Repeating a change after
     * OutcomeUnknown is safe: it returns the version that the first attempt
     * wrote. Errors: Unavailable (nothing was written), OutcomeUnknown.
     */
    Result<ConfigurationOutcome> apply(const ConfigurationChange&, std::int64_t wallClockMs, Time deadline);

    /** All kept versions, oldest first. Errors: Unavailable. */
    Result<std::vector<ConfigurationVersion>> history(Time deadline);

    /**
     * Records that all live instances of the data centre of the fence have the
     * version in force. Never lowers the recorded version. Errors: Unavailable,
     * OutcomeUnknown, Conflict (the fence is out of date).
     */
    Result<void> confirm(std::uint64_t version, const LeaseFence&, Time deadline);

    /** Roll-out of the newest version over these data centres. Errors: Unavailable. */
    Result<ConfigurationProgress> progress(const std::vector<DataCentreId>&, Time deadline);

    /** Removes all versions but the newest `keep`. Returns the number removed. */
    Result<std::size_t> compact(std::size_t keep, Time deadline);

private:
    Result<ConfigurationOutcome> resolveConflict(const ConfigurationChange&, Time deadline);

    Table& table_;
    WriteIds& writeIds_;
};

}
