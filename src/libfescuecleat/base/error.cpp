#include "base/error.h"

namespace fescuecleat {

std::string describe(const Error& error)
{
    std::string line;
    if (!error.location_.empty())
        line += error.location_ + ": ";
    line += error.message_;
    if (!error.remedy_.empty())
        line += "; " + error.remedy_;
    return line + " [" + errorKindName(error.kind_) + "]";
}

}
