#pragma once

#include "cli/commandarguments.h"
#include "cli/commandcontext.h"
#include "cli/exitcode.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** A subcommand with its help texts, options and function. */
struct Command {
    /** One or two words, such as "data-centre out". */
    std::string name_;
    /** Operands as shown in the usage line; empty if it takes none. */
    std::string operands_;
    std::string summary_;
    /** Long names of the options besides --output and --help. */
    std::vector<std::string> options_;
    /** Complete command lines. */
    std::vector<std::string> examples_;
    ExitCode (*run_)(const CommandArguments&, const CommandContext&) = nullptr;
};

/** All subcommands in the order of the help text. */
const std::vector<Command>& commands();

/** Finds the subcommand that the words begin with; nullptr if there is none. */
const Command* findCommand(const std::vector<std::string>& words);

}
