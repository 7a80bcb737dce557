#pragma once

#include "cli/apiclient.h"
#include "cli/commandarguments.h"
#include "cli/commandcontext.h"
#include "cli/exitcode.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** Looks up a key in a file with lines "OWNER KEY", as printed by fescuecleat key new. Errors: NotFound. */
Result<std::string> keyOfOwner(const std::string& file, const std::string& owner);

/** Creates a client of the caller API. Fails if the address, timeout or key file is invalid. */
Result<ApiClient> callerClient(const CommandArguments&, const CommandContext&);

/** Creates a client of the operator API. Fails if the address, timeout or key file is invalid. */
Result<ApiClient> operatorClient(const CommandArguments&, const CommandContext&);

/** Creates a client of a pool daemon's address for its peers. Fails if the address or timeout is invalid. */
Result<ApiClient> instanceClient(const CommandArguments&, const CommandContext&);

/** Reads a whole file. Errors: NotFound, also for an empty file. */
Result<std::string> readFile(const std::string& name);

/** Prints a result in the selected output format. */
void printResult(const CommandArguments&, const CommandContext&, const JsonValue&);

/** Prints an error in the selected output format and returns its exit code. */
ExitCode printError(const CommandArguments&, const CommandContext&, const Error&);

/** Prints errors in the command line or in files; returns UsageError. */
ExitCode printUsageErrors(const CommandArguments&, const CommandContext&, const std::vector<Error>&);

/** Prints the response to a call or its error. */
ExitCode printAnswer(const CommandArguments&, const CommandContext&, const Result<JsonValue>&);

/** Value of a member as text; empty if it doesn't exist. */
std::string textMember(const JsonValue&, const std::string& name);

}
