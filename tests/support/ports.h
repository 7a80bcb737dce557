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
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool isFree = bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(descriptor);
    return isFree;
}

/**
 * Returns the first of `count` consecutive loopback ports that are free. They are
 * below the range of ephemeral ports: an outgoing connection could otherwise take
 * a port before the test listens on it.
 */
inline unsigned short freePort(int count = 1)
{
    constexpr int firstPort = 20000;
    constexpr int lastPort = 32000;
    constexpr int maxTries = 200;
    std::random_device random;
    std::uniform_int_distribution<int> ports(firstPort, lastPort - count);
    for (int attempt = 0; attempt < maxTries; ++attempt) {
        const int first = ports(random);
        int port = first;
        while (port < first + count && isFreePort(static_cast<unsigned short>(port)))
            ++port;
        if (port == first + count)
            return static_cast<unsigned short>(first);
    }
    throw std::runtime_error("no free ports on loopback");
}

inline Address freeAddress(int count = 1)
{
    return { "127.0.0.1", freePort(count) };
}

}
