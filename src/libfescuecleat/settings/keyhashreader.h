#pragma once

#include "json/objectreader.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** Reads an optional array of key hashes, as fescuecleat key new prints them. */
std::vector<std::string> readKeyHashes(ObjectReader&, const std::string& name);

}
