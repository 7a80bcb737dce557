#pragma once

#include "base/result.h"
#include "base/time.h"

#include <string>

namespace fescuecleat {

/**
 * Parses a whole number with a unit: "250ms", "30s", "5min" or "2h".
 * Errors: WrongUnit, OutOfRange.
 */
Result<Duration> parseDuration(const std::string& text);

/** Formats a duration in the largest unit that represents it as a whole number. */
std::string formatDuration(Duration);

}
