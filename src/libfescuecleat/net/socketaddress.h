#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace fescuecleat {

/** An IPv4 address and a port. */
struct SocketAddress {
    std::string address_;
    std::uint16_t port_ = 0;

    bool operator==(const SocketAddress& other) const { return std::tie(address_, port_) == std::tie(other.address_, other.port_); }
    bool operator!=(const SocketAddress& other) const { return !(*this == other); }
    bool operator<(const SocketAddress& other) const { return std::tie(address_, port_) < std::tie(other.address_, other.port_); }
};

/** Parses an address such as "10.0.0.1:80"; the port must not be 0. */
Result<SocketAddress> parseSocketAddress(const std::string& text);
std::string toString(const SocketAddress&);

}
