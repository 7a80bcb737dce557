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

/** A configuration that an operator wants, checked already. */
struct ConfigurationWish {
    /** Version that the operator changed; the wish replaces exactly this one. */
    std::uint64_t basedOn_ = 0;
    std::string by_;
    std::string reason_;
    std::string base_;
    std::map<DataCentreId, std::string> overlays_;
};

/** The wish is written and irrevocable; it takes force in every data centre that is reachable. */
struct ConfigurationWritten {
    std::uint64_t version_ = 0;
};

/** Another operator was first; nothing of the wish took effect. */
struct ConfigurationRaced {
    ConfigurationHead winner_;
};

using ConfigurationOutcome = std::variant<ConfigurationWritten, ConfigurationRaced>;

/** How far the newest configuration has come. */
struct ConfigurationProgress {
    ConfigurationHead head_;
    /** Version in force by data centre; 0 if it never confirmed one. */
    std::map<DataCentreId, std::uint64_t> inForce_;

    /** Data centres that have not confirmed the version. */
    std::vector<DataCentreId> missing(std::uint64_t version) const;
    /** True once every data centre has confirmed the version: 'accepted', before 'pending'. */
    bool isAccepted(std::uint64_t version) const { return missing(version).empty(); }
};

/** The durable configuration: one version row, changed only by compare-and-set. Thread-safe. */
class ConfigurationControl {
public:
    /** Table and write ids outlive the control. */
    ConfigurationControl(Table&, WriteIds&);

    /** The newest version; 0 if there is none. Errors: Unavailable. */
    Result<ConfigurationHead> head(Time deadline);

    /** Errors: NotFound, Unavailable. */
    Result<ConfigurationVersion> load(std::uint64_t version, Time deadline);

    /**
     * Writes the wish as the next version. An operator who repeats a wish
     * after an unknown outcome gets the version that it became. Errors:
     * Unavailable, nothing was written; OutcomeUnknown, ask again.
     */
    Result<ConfigurationOutcome> apply(const ConfigurationWish&, std::int64_t wallClock, Time deadline);

    /** Versions that are kept, oldest first, with who changed what. Errors: Unavailable. */
    Result<std::vector<ConfigurationVersion>> history(Time deadline);

    /** Notes for the data centre of the lease that all its live instances have the version in force. Never lowers it. */
    Result<void> confirm(std::uint64_t version, const LeaseFence&, Time deadline);

    Result<ConfigurationProgress> progress(const std::vector<DataCentreId>&, Time deadline);

    /** Removes versions older than the newest `keep`. Returns how many. */
    Result<std::size_t> compact(std::size_t keep, Time deadline);

private:
    Result<ConfigurationOutcome> resolveRace(const ConfigurationWish&, Time deadline);

    Table& table_;
    WriteIds& writeIds_;
};

}
