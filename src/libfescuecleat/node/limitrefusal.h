#pragma once

#include "pool/organisationpolicy.h"

#include <string>

namespace fescuecleat {

/** Tells a caller which step of a job can never run, what it needs, which limit it exceeds, and what to do. */
std::string describe(const LimitExcess&, const std::string& organisation);

}
