#pragma once

#include "json/objectreader.h"

#include <string>

namespace fescuecleat {

/**
 * Checks the member "format" of a durable record. A newer format is
 * Unsupported: a program that can't read all of a record must not rewrite it.
 */
bool readFormat(ObjectReader&, int newest);

/** A string of at most `longest` bytes that may be empty or absent. */
std::string readOptionalText(ObjectReader&, const char* name, std::size_t longest);

}
