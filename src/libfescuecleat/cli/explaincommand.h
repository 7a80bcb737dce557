#pragma once

#include "cli/commandarguments.h"
#include "cli/commandcontext.h"
#include "cli/exitcode.h"

namespace fescuecleat {

/** Prints where a job would go now and why: a job that a pool daemon knows, or one in a file that is not submitted. */
ExitCode explainCommand(const CommandArguments&, const CommandContext&);

}
