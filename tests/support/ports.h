#pragma once

#include "settings/settings.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace fescuecleat::test {

/** A loopback port that is free now. The system doesn't hand it out again soon. */
inline unsigned short freePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in place {};
    place.sin_family = AF_INET;
    place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof place;
    const bool isBound = bind(descriptor, reinterpret_cast<const sockaddr*>(&place), sizeof place) == 0
        && getsockname(descriptor, reinterpret_cast<sockaddr*>(&place), &length) == 0;
    close(descriptor);
    if (!isBound)
        throw std::runtime_error("no free loopback port");
    return ntohs(place.sin_port);
}

inline Address freeAddress()
{
    return { "127.0.0.1", freePort() };
}

}
