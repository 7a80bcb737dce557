#pragma once

#include "json/objectreader.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** Reads an optional array of key hashes, in the format that `fescuecleat key new` prints. */
std::vector<std::string> readKeyHashes(ObjectReader&, const std::string& name);

}
