#pragma once

#include "settings/settings.h"
#include "json/json.h"

#include <string>

namespace fescuecleat::standins {

/** One entry for the platform stand-in's instance list. */
JsonValue listedInstance(const std::string& id, const std::string& role, const std::string& dataCentre, const Address&, const std::string& group, bool isLeaving);

/**
 * Adds or changes entries of the platform stand-in's list. Tries for a few
 * seconds, since both may have been started at the same moment.
 */
bool registerInstances(const Address& platformFaultPort, const JsonValue& instances);

}
