#pragma once

#include "cli/commandarguments.h"
#include "cli/commandcontext.h"
#include "cli/exitcode.h"

namespace fescuecleat {

/** Shows the merged document of BASE OVERLAY..., or every error at once. */
ExitCode checkConfigCommand(const CommandArguments&, const CommandContext&);

/** Applies BASE... DATA_CENTRE=OVERLAY... as one configuration version. */
ExitCode applyConfigCommand(const CommandArguments&, const CommandContext&);

/** Shows the configuration that is in force. */
ExitCode showConfigCommand(const CommandArguments&, const CommandContext&);

ExitCode configHistoryCommand(const CommandArguments&, const CommandContext&);

}
