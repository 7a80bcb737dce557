#pragma once

#include "base/result.h"

#include <cstddef>
#include <cxxtools/serializationinfo.h>
#include <string>
#include <string_view>

namespace fescuecleat {

/** A JSON value as cxxtools holds it. */
using JsonValue = cxxtools::SerializationInfo;

/** Bounds on a JSON text that comes from outside. */
struct JsonLimits {
    std::size_t bytes_ = 4U << 20U;
    int depth_ = 32;
};

/**
 * Parses one JSON text. Comments are allowed. Duplicate members, trailing
 * text, too deep nesting and too large texts are errors; `location` names the
 * source in them.
 */
Result<JsonValue> parseJson(std::string_view text, const std::string& location = {}, const JsonLimits& limits = {});

/** Writes a value without line breaks. */
std::string writeJson(const JsonValue&);

/** Writes a value with indentation, for people. */
std::string writePrettyJson(const JsonValue&);

/** An empty JSON object. */
JsonValue jsonObject();

/** Adds a whole value to an object under a name, or to an array under none. */
void addMember(JsonValue& parent, const std::string& name, JsonValue member);

/** Gives a value another content. The library's move assignment leaks the members that the target had. */
void replace(JsonValue& target, JsonValue content);

/** An empty JSON array. */
JsonValue jsonArray();

}
