#pragma once

#include "settings/address.h"

namespace fescuecleat::test {

/**
 * Returns the first of `count` consecutive loopback ports that are free, and reserves
 * them until this process ends: no other test process that asks here gets any of them.
 * They are below the range of ephemeral ports, so that no outgoing connection takes one
 * before the test listens on it. Throws std::runtime_error if there are none.
 */
unsigned short freePort(int count = 1);

/** Returns the loopback address of `freePort(count)`. */
Address freeAddress(int count = 1);

}
