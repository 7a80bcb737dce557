#include "node/storelayout.h"

#include "node/jobintake.h"

namespace fescuecleat {

std::vector<std::string> storeParts()
{
    std::vector<std::string> parts { {}, schedulerPart, instancesPart };
    for (std::string& part : intakeParts())
        parts.push_back(std::move(part));
    return parts;
}

}
