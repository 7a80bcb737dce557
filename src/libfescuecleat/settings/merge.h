#pragma once

#include "json/json.h"

#include <vector>

namespace fescuecleat {

/**
 * Applies an overlay to a base document as a JSON Merge Patch (RFC 7396):
 * objects are merged member by member, null removes a member, and any other
 * value, including an array, replaces the base value. Collections whose entries
 * can be overridden individually, such as organisations, are therefore objects
 * keyed by id.
 */
JsonValue merge(const JsonValue& base, const JsonValue& overlay);

/** Applies several overlays in order. */
JsonValue merge(const JsonValue& base, const std::vector<JsonValue>& overlays);

}
