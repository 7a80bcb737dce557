#include "platform/writeids.h"

#include <array>
#include <sodium.h>

namespace fescuecleat {

namespace {

    constexpr std::size_t processTagBytes = 12;

    /** Random, so that an instance that restarts under the same name does not reuse write ids. */
    std::string processTag()
    {
        std::array<unsigned char, processTagBytes> bytes {};
        randombytes_buf(bytes.data(), bytes.size());
        std::array<char, 2 * processTagBytes + 1> text {};
        sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
        return text.data();
    }

}

WriteIds::WriteIds(const std::string& owner)
    : prefix_(owner + "-" + processTag() + "-")
{
}

std::string WriteIds::next()
{
    return prefix_ + std::to_string(++count_);
}

}
