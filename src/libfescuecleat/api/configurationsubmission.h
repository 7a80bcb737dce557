#pragma once

#include "base/id.h"
#include "base/result.h"
#include "settings/configuration.h"
#include "json/json.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fescuecleat {

/** The body of PUT /v1/configuration: what operators want in force everywhere. */
struct ConfigurationSubmission {
    /** Version that the operator saw; the change is refused if another came in between. */
    std::uint64_t expectedVersion_ = 0;
    JsonValue base_;
    std::map<DataCentreId, JsonValue> overlays_;
    /** For the history. */
    std::string who_;
};

/** Reads the body; what it says is checked by parseDeployment. */
Checked<ConfigurationSubmission> parseConfigurationSubmission(const JsonValue&);

/** The same body, for clients. */
JsonValue toJson(const ConfigurationSubmission&);

/**
 * The configuration of each data centre of the deployment: the base merged with
 * its overlay, or the base alone if it has none. Reports every error of every
 * data centre, with "DATA_CENTRE: " before its path, and overlays of data
 * centres that aren't there.
 */
Checked<std::map<DataCentreId, Configuration>> parseDeployment(const JsonValue& base, const std::map<DataCentreId, JsonValue>& overlays, const std::vector<DataCentreId>& dataCentres);

}
