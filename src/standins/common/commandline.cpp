#include "standins/common/commandline.h"

#include <cstdlib>
#include <iostream>

namespace fescuecleat::standins {

namespace {

    constexpr int usageErrorStatus = 2;

    [[noreturn]] void exitWithUsageError(const std::string& message)
    {
        std::cerr << message << "; see --help\n";
        std::exit(usageErrorStatus);
    }

}

void parseCommandLine(int argc, const char** argv, const poptOption* table, const char* description)
{
    poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    poptSetOtherOptionHelp(context, description);
    const int result = poptGetNextOpt(context);
    if (result < -1)
        exitWithUsageError(std::string(poptBadOption(context, 0)) + ": " + poptStrerror(result));
    if (const char* extraArgument = poptPeekArg(context))
        exitWithUsageError(std::string("unexpected argument ") + extraArgument);
    poptFreeContext(context);
}

Address addressOption(const char* option, const char* text)
{
    const Result<Address> address = parseAddress(text ? text : "");
    if (!address)
        exitWithUsageError(std::string("--") + option + ": " + describe(address.error()));
    return *address;
}

Address withPortOffset(const Address& address, int offset)
{
    return { address.ip_, static_cast<unsigned short>(address.port_ + offset) };
}

}
