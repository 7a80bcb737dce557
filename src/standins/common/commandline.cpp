#include "standins/common/commandline.h"

#include <cstdlib>
#include <iostream>

namespace fescuecleat::standins {

namespace {

    constexpr int usageError = 2;

    [[noreturn]] void exitWith(const std::string& message)
    {
        std::cerr << message << "; see --help\n";
        std::exit(usageError);
    }

}

void parseCommandLine(int argc, const char** argv, const poptOption* table, const char* description)
{
    poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    poptSetOtherOptionHelp(context, description);
    const int result = poptGetNextOpt(context);
    if (result < -1)
        exitWith(std::string(poptBadOption(context, 0)) + ": " + poptStrerror(result));
    if (const char* rest = poptPeekArg(context))
        exitWith(std::string("unexpected argument ") + rest);
    poptFreeContext(context);
}

Address addressOption(const char* option, const char* text)
{
    const Result<Address> address = parseAddress(text ? text : "");
    if (!address)
        exitWith(std::string("--") + option + ": " + describe(address.error()));
    return *address;
}

Address shifted(const Address& address, int offset)
{
    return { address.ip_, static_cast<unsigned short>(address.port_ + offset) };
}

}
