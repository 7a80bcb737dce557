#include "net/asynchttpmessage.h"

#include <strings.h>

namespace fescuecleat {

std::optional<std::string> ServerRequest::header(const std::string& name) const
{
    for (const auto& [key, value] : headers_) {
        if (::strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return std::nullopt;
}

}
