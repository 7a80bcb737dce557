#include "daemon/requestpath.h"

namespace fescuecleat {

std::vector<std::string> splitPath(const std::string& path)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin < path.size()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        if (end > begin)
            parts.push_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

}
