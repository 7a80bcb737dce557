#pragma once

#include "base/result.h"
#include "settings/settings.h"

#include <popt.h>
#include <string>

namespace fescuecleat::standins {

/** Fills the variables of a popt table; prints help, or what is wrong, and exits if the program is not to run. */
void parseCommandLine(int argc, const char** argv, const poptOption* table, const char* description);

/** Parses "ip:port" of an option, or exits with what is wrong. */
Address addressOption(const char* option, const char* text);

/** The address `offset` ports further on. */
Address shifted(const Address&, int offset);

}
