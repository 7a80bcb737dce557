#pragma once

#include "cli/commandarguments.h"
#include "cli/commandcontext.h"
#include "cli/exitcode.h"

namespace fescuecleat {

/** Prints the merged document of BASE OVERLAY..., or all errors. */
ExitCode checkConfigCommand(const CommandArguments&, const CommandContext&);

/** Applies BASE... DATA_CENTRE=OVERLAY... as one configuration version. */
ExitCode applyConfigCommand(const CommandArguments&, const CommandContext&);

/** Prints the configuration in force. */
ExitCode showConfigCommand(const CommandArguments&, const CommandContext&);

ExitCode configHistoryCommand(const CommandArguments&, const CommandContext&);

}
