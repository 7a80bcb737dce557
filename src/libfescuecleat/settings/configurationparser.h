#pragma once

#include "base/result.h"
#include "settings/configuration.h"
#include "json/json.h"

namespace fescuecleat {

/**
 * Reads the configuration of one data centre from a merged document. Sections
 * that only a process reads at its start are not looked at. Guarantees that
 * don't fit into the declared capacity are refused with by how much and where.
 */
Checked<Configuration> parseConfiguration(const JsonValue& document);

}
