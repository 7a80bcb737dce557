#pragma once

#include "base/result.h"
#include "settings/settings.h"

#include <popt.h>
#include <string>

namespace fescuecleat::standins {

/** Fills the variables of a popt table. Exits after printing the help text or an error. */
void parseCommandLine(int argc, const char** argv, const poptOption* table, const char* description);

/** Parses the "ip:port" value of an option; prints an error and exits if it is invalid. */
Address addressOption(const char* option, const char* text);

/** Returns the address with its port increased by `offset`. */
Address withPortOffset(const Address&, int offset);

}
