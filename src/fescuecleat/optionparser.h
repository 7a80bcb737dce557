#pragma once

#include "base/result.h"
#include "command.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** What a command line asks for. */
struct ParsedOptions {
    CommandArguments arguments_;
    bool wantsHelp_ = false;
};

/**
 * Reads the options and operands of a command, `words` being what follows its
 * name. Unset options come from FESCUECLEAT_CALLER, FESCUECLEAT_OPERATOR and
 * FESCUECLEAT_KEY, whose values don't show in the list of processes.
 */
Result<ParsedOptions> parseOptions(const Command&, const std::vector<std::string>& words);

/** Usage, options with their defaults, examples and exit codes. */
std::string helpText(const Command&);

/** All commands, one line each. */
std::string overviewText();

}
