#pragma once

#include "base/result.h"
#include "settings/configuration.h"
#include "json/json.h"

namespace fescuecleat {

/**
 * Parses the configuration of one data centre from a merged document. Sections
 * with process settings (see settingsSections()) are ignored. Guarantees that
 * exceed the declared capacity are an error that names the level, the
 * organisations and the excess.
 */
ValidationResult<Configuration> parseConfiguration(const JsonValue& document);

}
