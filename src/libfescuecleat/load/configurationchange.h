#pragma once

#include "load/evidence.h"
#include "load/operatorclient.h"

#include <atomic>
#include <functional>

namespace fescuecleat {

/**
 * Applies `edit` to the base of the current configuration, writes the result as
 * a new version and waits until it is accepted or `isStopped` is set.
 * Errors: Unavailable, Conflict.
 */
Result<AcceptedConfiguration> changeConfiguration(const OperatorClient&, const std::function<void(JsonValue& base)>& edit, const std::atomic<bool>& isStopped);

/** Sets the members of the JSON object `policy` in the policy of the base. */
void setPolicy(JsonValue& base, const JsonValue& policy);

}
