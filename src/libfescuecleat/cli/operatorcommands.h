#pragma once

#include "cli/commandarguments.h"
#include "cli/commandcontext.h"
#include "cli/exitcode.h"

namespace fescuecleat {

ExitCode listDataCentresCommand(const CommandArguments&, const CommandContext&);

/** Takes a data centre out of service and waits until it is done or the time is up. */
ExitCode takeDataCentreOutCommand(const CommandArguments&, const CommandContext&);

/** Brings a data centre back into service. */
ExitCode returnDataCentreCommand(const CommandArguments&, const CommandContext&);

/** Dumps a process's whole state as JSON. */
ExitCode stateCommand(const CommandArguments&, const CommandContext&);

}
