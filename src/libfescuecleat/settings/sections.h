#pragma once

#include "json/json.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** Top-level members that hold process settings, read once at startup. */
const std::vector<std::string>& settingsSections();

/** Top-level members of the versioned configuration, which operators apply to all data centres. */
const std::vector<std::string>& configurationSections();

/**
 * Returns the configuration sections of a document. Process settings, which
 * include secret keys, are left out so that they are never stored in the table.
 */
JsonValue extractConfiguration(const JsonValue& document);

}
