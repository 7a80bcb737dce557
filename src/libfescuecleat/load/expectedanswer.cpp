#include "load/expectedanswer.h"

#include <cstdint>
#include <cstdlib>
#include <sstream>

namespace fescuecleat {

namespace {

    constexpr std::size_t maxTagBytes = 64;
    constexpr std::size_t minFillerBytes = 64;
    /** The filler has minFillerBytes to minFillerBytes + fillerRangeBytes - 1 bytes. */
    constexpr std::uint64_t fillerRangeBytes = 4096;

    /** FNV-1a. The answer must depend on every byte of the request, but needs no cryptographic hash. */
    std::uint64_t fnv1aHash(const std::string& text)
    {
        std::uint64_t value = 14695981039346656037U;
        for (const char c : text) {
            value ^= static_cast<unsigned char>(c);
            value *= 1099511628211U;
        }
        return value;
    }

}

std::string requestTag(const std::string& body)
{
    return body.substr(0, std::min(body.find('\n'), maxTagBytes));
}

long requestWorkMilliseconds(const std::string& body)
{
    const std::string prefix = "\nwork_ms=";
    const std::size_t found = body.find(prefix);
    return found == std::string::npos ? -1 : std::strtol(body.c_str() + found + prefix.size(), nullptr, 10);
}

std::string expectedAnswer(const std::string& kind, const std::string& body)
{
    const std::uint64_t value = fnv1aHash(kind + "\n" + body);
    std::ostringstream out;
    out << "answer to " << requestTag(body) << " of kind " << kind << " digest " << value << "\n"
        << std::string(minFillerBytes + value % fillerRangeBytes, static_cast<char>('a' + static_cast<int>(value % 26))) << "\nend\n";
    return out.str();
}

}
