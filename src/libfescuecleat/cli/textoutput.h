#pragma once

#include "json/json.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** Formats a table with columns as wide as their widest cells; an empty table is "none". */
std::string formatTable(const std::vector<std::string>& headings, const std::vector<std::vector<std::string>>& rows);

/**
 * Formats a response as text: an object as "name: value" lines, an array of
 * objects as a table, deeper values as one line of JSON.
 */
std::string formatAnswer(const JsonValue&);

}
