#pragma once

#include "base/result.h"
#include "membership/peermessage.h"

#include <string>

namespace fescuecleat {

/** Encodes a message with protobuf. */
std::string encodePeerMessage(const PeerMessage&);

/** Errors: InvalidSyntax. */
Result<PeerMessage> decodePeerMessage(const std::string&);

}
