#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace fescuecleat {

/**
 * The line, from 1, at which the member of a path such as "log.level" or
 * "keys[1]" stands in a well-formed JSON text with comments; none if it isn't
 * there. Only for error messages: it walks over the text and builds no values.
 */
std::optional<int> lineOfPath(std::string_view text, const std::string& path);

}
