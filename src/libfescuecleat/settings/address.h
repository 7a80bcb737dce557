#pragma once

#include "base/result.h"

#include <string>

namespace fescuecleat {

/** An address to listen at or to connect to: a numeric IP and a port. */
struct Address {
    std::string ip_;
    unsigned short port_ = 0;

    bool operator==(const Address& other) const { return ip_ == other.ip_ && port_ == other.port_; }
    bool operator!=(const Address& other) const { return !(*this == other); }
};

/** "ip:port", with an IPv6 address in brackets. */
std::string toString(const Address&);

/** Parses "ip:port". Errors: WrongType, OutOfRange. */
Result<Address> parseAddress(const std::string& text);

/** True if only this machine can reach the address. */
bool isLoopback(const Address&);

}
