#pragma once

#include "cli/commandarguments.h"
#include "cli/commandcontext.h"
#include "cli/exitcode.h"

namespace fescuecleat {

/** Submits one job given by options or all jobs of a file, and optionally waits until they end. */
ExitCode submitCommand(const CommandArguments&, const CommandContext&);

/** Prints a job's state. */
ExitCode statusCommand(const CommandArguments&, const CommandContext&);

/** Waits until all given jobs have ended or the timeout expires. */
ExitCode waitCommand(const CommandArguments&, const CommandContext&);

ExitCode cancelCommand(const CommandArguments&, const CommandContext&);

/** Lists the jobs of the caller's organisation. */
ExitCode jobsCommand(const CommandArguments&, const CommandContext&);

/** Explains why a job waits, what blocks it and what would unblock it. */
ExitCode whyCommand(const CommandArguments&, const CommandContext&);

}
