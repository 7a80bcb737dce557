#pragma once

#include "cli/commandarguments.h"
#include "cli/commandcontext.h"
#include "cli/exitcode.h"

namespace fescuecleat {

/**
 * Creates a key and prints it with its hash, or one key for each given owner.
 * With --overlay, also writes the owners' hashes to a settings overlay. Needs no daemon.
 */
ExitCode newKeyCommand(const CommandArguments&, const CommandContext&);

}
