#pragma once

#include "json/json.h"

#include <vector>

namespace fescuecleat {

/**
 * Lays an overlay over a base, by the rule of JSON Merge Patch (RFC 7396):
 * objects merge member by member, null removes the member, and any other
 * value, arrays included, replaces what the base has. What can be overlaid one
 * by one, such as organisations, is therefore written as an object whose
 * members are named by their ids.
 */
JsonValue merge(const JsonValue& base, const JsonValue& overlay);

/** Lays several overlays over a base, in order. */
JsonValue merge(const JsonValue& base, const std::vector<JsonValue>& overlays);

}
