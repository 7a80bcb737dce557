#pragma once

#include "json/json.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** Rows under headings, each column as wide as its widest cell; an empty table is "none". */
std::string formatTable(const std::vector<std::string>& headings, const std::vector<std::vector<std::string>>& rows);

/**
 * An answer for people: an object as "name: value" lines, an array of objects
 * as a table, anything deeper as one line of JSON.
 */
std::string formatAnswer(const JsonValue&);

}
