#pragma once

#include "cli/apiclient.h"
#include "cli/commandarguments.h"
#include "cli/commandcontext.h"
#include "cli/exitcode.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** Lines "OWNER KEY" of a key file, as fescuecleat key new prints them. Errors: NotFound. */
Result<std::string> keyOfOwner(const std::string& file, const std::string& owner);

/** A client of the callers' edge. Errors: wrong address, timeout or key file. */
Result<ApiClient> callerClient(const CommandArguments&, const CommandContext&);

/** A client of the operators' edge. Errors: wrong address, timeout or key file. */
Result<ApiClient> operatorClient(const CommandArguments&, const CommandContext&);

/** The whole of a file. Errors: NotFound. */
Result<std::string> readFile(const std::string& name);

/** Prints a result in the wanted format. */
void printResult(const CommandArguments&, const CommandContext&, const JsonValue&);

/** Prints an error in the wanted format and gives its exit code. */
ExitCode printError(const CommandArguments&, const CommandContext&, const Error&);

/** Prints errors of the command line or of files; always BadUse. */
ExitCode printBadUse(const CommandArguments&, const CommandContext&, const std::vector<Error>&);

/** Prints the answer of a call or its error. */
ExitCode printAnswer(const CommandArguments&, const CommandContext&, const Result<JsonValue>&);

/** A text member of an answer; empty if there is none. */
std::string textMember(const JsonValue&, const std::string& name);

}
