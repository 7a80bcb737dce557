#pragma once

#include "base/result.h"
#include "settings/settings.h"
#include "json/json.h"

namespace fescuecleat {

/**
 * Reads what one process needs from a merged document. Sections that belong to
 * the configuration are not looked at, apart from the operators' key hashes.
 */
Checked<Settings> parseSettings(const JsonValue& document);

/** Checks only the sections that are there; for documents that don't name an instance. */
std::vector<Error> checkSettingsSections(const JsonValue& document);

}
