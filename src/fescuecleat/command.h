#pragma once

#include "cli/commandarguments.h"
#include "cli/commandcontext.h"
#include "cli/exitcode.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** One subcommand: its words, what it takes and what carries it out. */
struct Command {
    /** Such as "data-centre out". */
    std::string name_;
    /** Operands, as they stand in the usage line. */
    std::string operands_;
    std::string summary_;
    /** Long names of its options besides the common ones. */
    std::vector<std::string> options_;
    /** Whole command lines. */
    std::vector<std::string> examples_;
    ExitCode (*run_)(const CommandArguments&, const CommandContext&) = nullptr;
};

/** All subcommands, in the order in which help lists them. */
const std::vector<Command>& commands();

/** The subcommand that the words begin with, the longest name first; nullptr if there is none. */
const Command* findCommand(const std::vector<std::string>& words);

}
