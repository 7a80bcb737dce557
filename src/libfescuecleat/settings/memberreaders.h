#pragma once

#include "settings/address.h"
#include "settings/duration.h"
#include "json/objectreader.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** Bounds of a duration, both taken. */
struct DurationRange {
    Duration least_ { 0 };
    Duration most_ { 0 };
};

/** Reads an optional duration with its unit, such as "30s". */
Duration readDuration(ObjectReader&, const std::string& name, Duration fallback, const DurationRange&);

/** Reads a required address, "ip:port". */
Address readAddress(ObjectReader&, const std::string& name);

/** Reads an optional array of strings, none of them empty or given twice. */
std::vector<std::string> readStrings(ObjectReader&, const std::string& name);

/**
 * Checks a name that people give: lower-case letters, digits and hyphens, at
 * most 63, beginning with a letter. Reports at `path` otherwise.
 */
bool checkName(const std::string& name, const std::string& path, std::vector<Error>& errors);

/** Reads a required name. */
std::string readName(ObjectReader&, const std::string& name, std::vector<Error>& errors);

}
