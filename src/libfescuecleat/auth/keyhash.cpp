#include "auth/keyhash.h"

#include <sodium.h>
#include <stdexcept>
#include <string_view>
#include <vector>

namespace fescuecleat {

namespace {

    constexpr std::size_t idBytes = 8;
    constexpr std::size_t saltBytes = 16;
    constexpr std::size_t secretBytes = 32;
    constexpr std::size_t digestBytes = 32;
    constexpr std::string_view keyPrefix = "fck_";
    constexpr std::string_view algorithm = "blake2b";
    constexpr std::size_t keyLength = keyPrefix.size() + 2 * idBytes + 1 + 2 * secretBytes;

    void initialiseSodium()
    {
        static const int status = sodium_init();
        if (status < 0)
            throw std::runtime_error("libsodium can't be initialised");
    }

    std::string toHex(const std::vector<unsigned char>& bytes)
    {
        std::string text(bytes.size() * 2 + 1, '\0');
        sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
        text.pop_back();
        return text;
    }

    std::string randomHex(std::size_t size)
    {
        std::vector<unsigned char> bytes(size);
        randombytes_buf(bytes.data(), bytes.size());
        return toHex(bytes);
    }

    bool isHex(std::string_view text, std::size_t bytes)
    {
        return text.size() == 2 * bytes && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    }

    std::string digestOf(const std::string& key, const std::string& salt)
    {
        std::vector<unsigned char> saltBinary(saltBytes);
        sodium_hex2bin(saltBinary.data(), saltBinary.size(), salt.data(), salt.size(), nullptr, nullptr, nullptr);
        std::vector<unsigned char> digest(digestBytes);
        crypto_generichash(digest.data(), digest.size(), reinterpret_cast<const unsigned char*>(key.data()), key.size(), saltBinary.data(), saltBinary.size());
        return toHex(digest);
    }

    std::vector<std::string> split(const std::string& text)
    {
        std::vector<std::string> parts;
        std::size_t begin = 0;
        for (std::size_t end = text.find(':'); end != std::string::npos; end = text.find(':', begin)) {
            parts.push_back(text.substr(begin, end - begin));
            begin = end + 1;
        }
        parts.push_back(text.substr(begin));
        return parts;
    }

}

NewKey createKey()
{
    initialiseSodium();
    KeyHash hash;
    hash.id_ = randomHex(idBytes);
    hash.salt_ = randomHex(saltBytes);
    std::string key = std::string(keyPrefix) + hash.id_ + "_" + randomHex(secretBytes);
    hash.digest_ = digestOf(key, hash.salt_);
    return { std::move(key), std::move(hash) };
}

std::string toString(const KeyHash& hash)
{
    return std::string(algorithm) + ":" + hash.id_ + ":" + hash.salt_ + ":" + hash.digest_;
}

Result<KeyHash> parseKeyHash(const std::string& text)
{
    const std::vector<std::string> parts = split(text);
    const bool isWellFormed = parts.size() == 4 && parts[0] == algorithm && isHex(parts[1], idBytes) && isHex(parts[2], saltBytes) && isHex(parts[3], digestBytes);
    if (!isWellFormed)
        return failure(ErrorKind::WrongType, "value is not a key hash", "put the hash that fescuecleat key new prints here, never the key itself");
    return KeyHash { parts[1], parts[2], parts[3] };
}

std::string keyIdOf(const std::string& key)
{
    if (key.size() != keyLength || key.compare(0, keyPrefix.size(), keyPrefix) != 0)
        return {};
    return key.substr(keyPrefix.size(), 2 * idBytes);
}

bool matches(const std::string& key, const KeyHash& hash)
{
    initialiseSodium();
    const std::string digest = digestOf(key, hash.salt_);
    return digest.size() == hash.digest_.size() && sodium_memcmp(digest.data(), hash.digest_.data(), digest.size()) == 0;
}

}
