#pragma once

#include "settings/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace fescuecleat::test {

inline bool isFreePort(unsigned short port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in place {};
    place.sin_family = AF_INET;
    place.sin_port = htons(port);
    place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool isFree = bind(descriptor, reinterpret_cast<const sockaddr*>(&place), sizeof place) == 0;
    close(descriptor);
    return isFree;
}

/**
 * The first of `count` consecutive loopback ports that are free now. They lie
 * below those that the system gives to outgoing connections, or one of these
 * could take a port before its listener does.
 */
inline unsigned short freePort(int count = 1)
{
    constexpr int firstPort = 20000;
    constexpr int lastPort = 32000;
    constexpr int mostTries = 200;
    std::random_device random;
    std::uniform_int_distribution<int> draw(firstPort, lastPort - count);
    for (int tries = 0; tries < mostTries; ++tries) {
        const int first = draw(random);
        int port = first;
        while (port < first + count && isFreePort(static_cast<unsigned short>(port)))
            ++port;
        if (port == first + count)
            return static_cast<unsigned short>(first);
    }
    throw std::runtime_error("no free loopback ports");
}

inline Address freeAddress(int count = 1)
{
    return { "127.0.0.1", freePort(count) };
}

}
