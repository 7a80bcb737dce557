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

/** The body of PUT /v1/configuration: a new configuration for all data centres. */
struct ConfigurationSubmission {
    /** Version on which the change is based; the change is refused if it is no longer the newest. */
    std::uint64_t expectedVersion_ = 0;
    JsonValue base_;
    std::map<DataCentreId, JsonValue> overlays_;
    /** Author of the change, for the history. */
    std::string who_;
};

/** Reads the body without checking the configurations, which parseDeployment() does. */
ValidationResult<ConfigurationSubmission> parseConfigurationSubmission(const JsonValue&);

/** Writes the body, for clients. */
JsonValue toJson(const ConfigurationSubmission&);

/**
 * Parses the configuration of each data centre of the deployment: the base merged
 * with its overlay, or the base alone if it has none. Returns the errors of all
 * data centres, each location with the prefix "DATA_CENTRE: ", and an error for
 * each overlay of an unknown data centre.
 */
ValidationResult<std::map<DataCentreId, Configuration>> parseDeployment(const JsonValue& base, const std::map<DataCentreId, JsonValue>& overlays, const std::vector<DataCentreId>& dataCentres);

}
