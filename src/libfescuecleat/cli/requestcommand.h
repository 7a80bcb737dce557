#pragma once

#include "cli/commandarguments.h"
#include "cli/commandcontext.h"
#include "cli/exitcode.h"

namespace fescuecleat {

/** Sends one request to a service and prints the body of the answer. */
ExitCode requestCommand(const CommandArguments&, const CommandContext&);

}
