#include "net/socketaddress.h"

#include <boost/asio/ip/address_v4.hpp>
#include <charconv>

namespace fescuecleat {

Result<SocketAddress> parseSocketAddress(const std::string& text)
{
    const auto invalid = [&text] {
        return failure(ErrorKind::InvalidSyntax, "'" + text + "' is not an address and port", "write it as IPV4:PORT");
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return invalid();
    SocketAddress endpoint { text.substr(0, colon), 0 };
    boost::system::error_code error;
    boost::asio::ip::make_address_v4(endpoint.address_, error);
    const char* const end = text.data() + text.size();
    const auto [last, status] = std::from_chars(text.data() + colon + 1, end, endpoint.port_);
    if (error || status != std::errc() || last != end || endpoint.port_ == 0)
        return invalid();
    return endpoint;
}

std::string toString(const SocketAddress& endpoint)
{
    return endpoint.address_ + ":" + std::to_string(endpoint.port_);
}

}
