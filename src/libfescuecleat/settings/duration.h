#pragma once

#include "base/result.h"
#include "base/time.h"

#include <string>

namespace fescuecleat {

/**
 * Parses a whole number with its unit: "250ms", "30s", "5min" or "2h".
 * Errors: WrongUnit, OutOfRange.
 */
Result<Duration> parseDuration(const std::string& text);

/** The same text with the largest unit that loses nothing. */
std::string durationText(Duration);

}
