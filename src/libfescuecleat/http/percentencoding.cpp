#include "http/percentencoding.h"

#include <cctype>

namespace fescuecleat {

namespace {

    const char* const hexDigits = "0123456789ABCDEF";

    bool isUnreserved(unsigned char c)
    {
        return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '~';
    }

    int hexValue(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        if (c >= 'a' && c <= 'f')
            return c - 'a' + 10;
        if (c >= 'A' && c <= 'F')
            return c - 'A' + 10;
        return -1;
    }

}

std::string percentEncode(std::string_view text)
{
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (isUnreserved(byte)) {
            encoded += c;
            continue;
        }
        encoded += '%';
        encoded += hexDigits[byte >> 4U];
        encoded += hexDigits[byte & 0x0FU];
    }
    return encoded;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '+') {
            decoded += ' ';
            continue;
        }
        const bool hasDigits = text[i] == '%' && i + 2 < text.size();
        const int high = hasDigits ? hexValue(text[i + 1]) : -1;
        const int low = hasDigits ? hexValue(text[i + 2]) : -1;
        if (high < 0 || low < 0) {
            decoded += text[i];
            continue;
        }
        decoded += static_cast<char>(high * 16 + low);
        i += 2;
    }
    return decoded;
}

std::map<std::string, std::string> parseQuery(std::string_view query)
{
    std::map<std::string, std::string> parameters;
    while (!query.empty()) {
        const std::size_t end = query.find('&');
        const std::string_view part = query.substr(0, end);
        const std::size_t equals = part.find('=');
        if (!part.empty()) {
            const std::string_view value = equals == std::string_view::npos ? std::string_view() : part.substr(equals + 1);
            parameters[percentDecode(part.substr(0, equals))] = percentDecode(value);
        }
        if (end == std::string_view::npos)
            break;
        query.remove_prefix(end + 1);
    }
    return parameters;
}

}
