#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace fescuecleat {

/**
 * Returns the line, counted from 1, of the member at a path such as "log.level"
 * or "keys[1]" in a well-formed JSON text, which may contain comments; nullopt
 * if there is no such member. Scans the whole text, so use it for error messages
 * only.
 */
std::optional<int> lineOfPath(std::string_view text, const std::string& path);

}
