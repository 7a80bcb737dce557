#pragma once

#include "base/result.h"
#include "settings/settings.h"
#include "json/json.h"

namespace fescuecleat {

/**
 * Parses the settings of one process from a merged document. Sections of the
 * configuration are ignored, except for the operators' key hashes.
 */
ValidationResult<Settings> parseSettings(const JsonValue& document);

/** Validates only the sections that are present; for documents that don't describe an instance. */
std::vector<Error> checkSettingsSections(const JsonValue& document);

}
