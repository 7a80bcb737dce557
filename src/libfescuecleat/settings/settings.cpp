#include "settings/settings.h"

namespace fescuecleat {

std::string toString(const Address& address)
{
    return address.ip_ + ":" + std::to_string(address.port_);
}

}
