#include "settings/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace fescuecleat {

namespace {

    bool isNumericIp(const std::string& text)
    {
        in6_addr buffer {};
        return inet_pton(AF_INET, text.c_str(), &buffer) == 1 || inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
    }

    constexpr const char* remedy = "write a numeric IP and a port from 1 to 65535, such as \"127.0.0.1:7100\" or \"[::1]:7100\"";

}

bool isLoopback(const Address& address)
{
    return address.ip_.rfind("127.", 0) == 0 || address.ip_ == "::1";
}

std::string toString(const Address& address)
{
    const bool isIpv6 = address.ip_.find(':') != std::string::npos;
    return (isIpv6 ? "[" + address.ip_ + "]" : address.ip_) + ":" + std::to_string(address.port_);
}

Result<Address> parseAddress(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return failure(ErrorKind::WrongType, "\"" + text + "\" has no port", remedy);
    std::string ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    else if (ip.find(':') != std::string::npos)
        return failure(ErrorKind::WrongType, "\"" + text + "\" is ambiguous: an IPv6 address needs brackets", remedy);
    if (!isNumericIp(ip))
        return failure(ErrorKind::WrongType, "\"" + ip + "\" is no numeric IP", remedy);

    unsigned short port = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(text.data() + colon + 1, end, port);
    if (status != std::errc() || rest != end || port == 0)
        return failure(ErrorKind::OutOfRange, "\"" + text.substr(colon + 1) + "\" is not a valid port", remedy);
    return Address { std::move(ip), port };
}

}
