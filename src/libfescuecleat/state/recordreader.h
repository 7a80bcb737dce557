#pragma once

#include "json/objectreader.h"

#include <string>

namespace fescuecleat {

/**
 * Checks the member "format" of a stored record. Reports a version above
 * `maxFormat` as Unsupported, since rewriting a record that this program reads
 * only in part would lose data.
 */
bool readFormat(ObjectReader&, int maxFormat);

/** An optional string member of at most `maxBytes` bytes; empty if it is absent. */
std::string readOptionalText(ObjectReader&, const char* name, std::size_t maxBytes);

}
