#include "command.h"
#include "http/cxxtoolshttpclient.h"
#include "optionparser.h"

#include <algorithm>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace fescuecleat;

bool isHelp(const std::string& word) { return word == "--help" || word == "-?" || word == "help"; }

int runCommand(const Command& command, const std::vector<std::string>& words)
{
    const Result<ParsedOptions> options = parseOptions(command, words);
    if (!options) {
        std::cerr << "fescuecleat: " << describe(options.error()) << '\n';
        return static_cast<int>(ExitCode::UsageError);
    }
    if (options->wantsHelp_) {
        std::cout << helpText(command);
        return static_cast<int>(ExitCode::Success);
    }
    CxxtoolsHttpClient client;
    const CommandContext context { client, std::cout, std::cerr };
    const ExitCode exitCode = command.run_(options->arguments_, context);
    std::cout.flush();
    return static_cast<int>(exitCode);
}

int run(std::vector<std::string> words)
{
    if (!words.empty() && isHelp(words.front())) {
        std::cout << overviewText();
        return static_cast<int>(ExitCode::Success);
    }
    const Command* command = findCommand(words);
    if (!command) {
        const std::string what = words.empty() ? "no command is given" : "\"" + words.front() + "\" is no command";
        std::cerr << "fescuecleat: " << what << "; see fescuecleat --help\n";
        return static_cast<int>(ExitCode::UsageError);
    }
    const auto nameWords = 1 + std::count(command->name_.begin(), command->name_.end(), ' ');
    words.erase(words.begin(), words.begin() + nameWords);
    return runCommand(*command, words);
}

}

int main(int argc, char** argv)
{
    try {
        return run({ argv + 1, argv + argc });
    } catch (const std::exception& error) {
        std::cerr << "fescuecleat: " << error.what() << "; please report this error\n";
        return static_cast<int>(fescuecleat::ExitCode::OutcomeUnknown);
    }
}
