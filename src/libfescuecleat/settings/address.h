#pragma once

#include "base/result.h"

#include <string>

namespace fescuecleat {

/** A TCP address to listen on or connect to: a numeric IP and a port. */
struct Address {
    std::string ip_;
    unsigned short port_ = 0;

    bool operator==(const Address& other) const { return ip_ == other.ip_ && port_ == other.port_; }
    bool operator!=(const Address& other) const { return !(*this == other); }
};

/** Formats as "ip:port", with an IPv6 address in brackets. */
std::string toString(const Address&);

/** Parses "ip:port". Errors: WrongType, OutOfRange. */
Result<Address> parseAddress(const std::string& text);

/** True for a loopback address, which only processes on this machine can reach. */
bool isLoopback(const Address&);

}
