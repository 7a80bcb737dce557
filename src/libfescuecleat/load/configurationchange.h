#pragma once

#include "load/evidence.h"
#include "load/operatorclient.h"

#include <atomic>
#include <functional>

namespace fescuecleat {

/**
 * Writes the configuration in force again as a new version, after `edit`
 * changed its base, and waits until it is accepted everywhere or `isStopped`.
 * Errors: Unavailable, Conflict.
 */
Result<AcceptedConfiguration> changeConfiguration(const OperatorClient&, const std::function<void(JsonValue& base)>& edit, const std::atomic<bool>& isStopped);

/** Sets members of the base's policy; `policy` is an object. */
void setPolicy(JsonValue& base, const JsonValue& policy);

}
