#pragma once

#include "settings/address.h"
#include "settings/duration.h"
#include "json/objectreader.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** Inclusive bounds of a duration. */
struct DurationRange {
    Duration min_ { 0 };
    Duration max_ { 0 };
};

/** Reads an optional duration with a unit, such as "30s". Returns `fallback` if it is missing or invalid. */
Duration readDuration(ObjectReader&, const std::string& name, Duration fallback, const DurationRange&);

/** Reads a required address in the form "ip:port". */
Address readAddress(ObjectReader&, const std::string& name);

/** Reads an optional array of non-empty, distinct strings. */
std::vector<std::string> readStrings(ObjectReader&, const std::string& name);

/**
 * Validates a user-defined name: at most 63 lower-case letters, digits and
 * hyphens, starting with a letter. Adds an error at `path` if it is invalid.
 */
bool checkName(const std::string& name, const std::string& path, std::vector<Error>& errors);

/** Reads a required name and validates it with checkName(). */
std::string readName(ObjectReader&, const std::string& name, std::vector<Error>& errors);

}
