#pragma once

#include "base/result.h"

#include <cstddef>
#include <cxxtools/serializationinfo.h>
#include <string>
#include <string_view>

namespace fescuecleat {

/** A JSON value, represented by the serialization type of cxxtools. */
using JsonValue = cxxtools::SerializationInfo;

/** Limits for parsing untrusted JSON text. */
struct JsonLimits {
    std::size_t maxBytes_ = 4U << 20U;
    int maxDepth_ = 32;
};

/**
 * Parses a JSON text, which may contain comments. Duplicate members, trailing
 * text and texts that exceed the limits are errors; `location` names the source
 * in them. Errors: InvalidSyntax, DuplicateMember, TooDeep, TooLarge.
 */
Result<JsonValue> parseJson(std::string_view text, const std::string& location = {}, const JsonLimits& limits = {});

/** Serializes a value without line breaks. */
std::string writeJson(const JsonValue&);

/** Serializes a value with line breaks and indentation. */
std::string writePrettyJson(const JsonValue&);

/** Returns an empty JSON object. */
JsonValue jsonObject();

/** Adds a value to an object, or to an array if `name` is empty. */
void addMember(JsonValue& parent, const std::string& name, JsonValue member);

/** Replaces a value by swapping, since move assignment of SerializationInfo leaks the members of the target. */
void replace(JsonValue& target, JsonValue content);

/** Returns an empty JSON array. */
JsonValue jsonArray();

}
