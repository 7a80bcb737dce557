#pragma once

#include "cli/commandarguments.h"
#include "cli/commandcontext.h"
#include "cli/exitcode.h"

namespace fescuecleat {

/** Submits one job by options or all jobs of a file; may wait for their ends. */
ExitCode submitCommand(const CommandArguments&, const CommandContext&);

/** Shows a job's state. */
ExitCode statusCommand(const CommandArguments&, const CommandContext&);

/** Waits until every job named has ended. */
ExitCode waitCommand(const CommandArguments&, const CommandContext&);

ExitCode cancelCommand(const CommandArguments&, const CommandContext&);

/** Lists the jobs of the caller's organisation. */
ExitCode jobsCommand(const CommandArguments&, const CommandContext&);

/** Tells why a job waits, what blocks it and what would free it. */
ExitCode whyCommand(const CommandArguments&, const CommandContext&);

}
