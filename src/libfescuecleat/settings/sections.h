#pragma once

#include "json/json.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** Top-level members that one process reads at its start. */
const std::vector<std::string>& settingsSections();

/** Top-level members that operators apply to all data centres as a versioned configuration. */
const std::vector<std::string>& configurationSections();

/**
 * The part of a document that is applied as configuration. What a process
 * reads at its start, secret keys among it, is left out and so never reaches
 * the table.
 */
JsonValue configurationPart(const JsonValue& document);

}
