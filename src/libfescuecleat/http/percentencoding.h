#pragma once

#include <map>
#include <string>
#include <string_view>

namespace fescuecleat {

/** Encodes a value for use in a query or a path segment. */
std::string percentEncode(std::string_view);

/** Decodes %XX, and + as a space, as queries use it. Malformed sequences are kept unchanged. */
std::string percentDecode(std::string_view);

/** Parses "a=1&b=2" and decodes names and values. */
std::map<std::string, std::string> parseQuery(std::string_view);

}
