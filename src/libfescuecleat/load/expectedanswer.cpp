#include "load/expectedanswer.h"

#include <cstdint>
#include <cstdlib>
#include <sstream>

namespace fescuecleat {

namespace {

    constexpr std::size_t longestTag = 64;
    constexpr std::size_t smallestFiller = 64;
    /** Sizes of answers differ up to this many bytes. */
    constexpr std::uint64_t fillerSpan = 4096;

    /** FNV-1a; the answer must only depend on every byte, it protects nothing. */
    std::uint64_t digest(const std::string& text)
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
    return body.substr(0, std::min(body.find('\n'), longestTag));
}

long requestWorkMilliseconds(const std::string& body)
{
    const std::string mark = "\nwork_ms=";
    const std::size_t found = body.find(mark);
    return found == std::string::npos ? -1 : std::strtol(body.c_str() + found + mark.size(), nullptr, 10);
}

std::string expectedAnswer(const std::string& kind, const std::string& body)
{
    const std::uint64_t value = digest(kind + "\n" + body);
    std::ostringstream out;
    out << "answer to " << requestTag(body) << " of kind " << kind << " digest " << value << "\n"
        << std::string(smallestFiller + value % fillerSpan, static_cast<char>('a' + static_cast<int>(value % 26))) << "\nend\n";
    return out.str();
}

}
