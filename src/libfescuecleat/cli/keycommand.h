#pragma once

#include "cli/commandarguments.h"
#include "cli/commandcontext.h"
#include "cli/exitcode.h"

namespace fescuecleat {

/**
 * Creates keys and prints each with its hash; with owners also writes an
 * overlay that puts the hashes in their places. Needs no daemon.
 */
ExitCode newKeyCommand(const CommandArguments&, const CommandContext&);

}
