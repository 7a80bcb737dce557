#pragma once

#include "base/result.h"
#include "command.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** Parsed options and operands of a command line. */
struct ParsedOptions {
    CommandArguments arguments_;
    bool wantsHelp_ = false;
};

/**
 * Parses the options and operands of a command; `words` are the arguments after
 * the command's name. Addresses that are not given and the key are read from
 * FESCUECLEAT_CALLER, FESCUECLEAT_OPERATOR and FESCUECLEAT_KEY, so that the key
 * does not appear in the process list. Errors: InvalidSyntax.
 */
Result<ParsedOptions> parseOptions(const Command&, const std::vector<std::string>& words);

/** Help text of a command: usage, options, examples and exit codes. */
std::string helpText(const Command&);

/** Help text that lists all commands. */
std::string overviewText();

}
