#pragma once

#include "cli/commandarguments.h"
#include "cli/commandcontext.h"
#include "cli/exitcode.h"

namespace fescuecleat {

ExitCode listDataCentresCommand(const CommandArguments&, const CommandContext&);

/** Takes a data centre out of service and waits until this is done or the timeout expires. */
ExitCode takeDataCentreOutCommand(const CommandArguments&, const CommandContext&);

/** Returns a data centre to service. */
ExitCode returnDataCentreCommand(const CommandArguments&, const CommandContext&);

/** Prints the state of a process as JSON. */
ExitCode stateCommand(const CommandArguments&, const CommandContext&);

}
