#pragma once

#include "settings/settings.h"
#include "json/json.h"

#include <string>

namespace fescuecleat::standins {

/** Returns one entry for the platform stand-in's instance list. */
JsonValue instanceEntry(const std::string& id, const std::string& role, const std::string& dataCentre, const Address&, const std::string& group, bool isLeaving);

/**
 * Adds or changes entries of the platform stand-in's instance list. Retries for
 * 10 s, since both programs may have been started at the same time. Returns
 * false if the platform stand-in didn't accept them in that time.
 */
bool registerInstances(const Address& platformFaultPort, const JsonValue& instances);

}
