#include "auth/keyring.h"

namespace fescuecleat {

Keyring::Keyring(const std::vector<std::string>& operatorKeyHashes)
{
    add(operatorKeyHashes, Operator {});
}

Keyring::Keyring(const Configuration& configuration)
{
    add(configuration.operatorKeyHashes_, Operator {});
    for (const OrganisationConfiguration& organisation : configuration.organisations_)
        add(organisation.keyHashes_, organisation.id_);
}

Identity Keyring::identify(const std::string& key) const
{
    const auto entry = entries_.find(keyIdOf(key));
    if (entry == entries_.end() || !matches(key, entry->second.hash_))
        return Unauthenticated {};
    return entry->second.owner_;
}

void Keyring::add(const std::vector<std::string>& hashes, const Identity& owner)
{
    for (const std::string& text : hashes) {
        Result<KeyHash> hash = parseKeyHash(text);
        if (!hash)
            continue;
        const std::string id = hash->id_;
        entries_.emplace(id, Entry { std::move(*hash), owner });
    }
}

std::string bearerKey(const HttpHeaders& headers)
{
    const std::string scheme = "Bearer ";
    const auto header = headers.find("authorization");
    if (header == headers.end() || header->second.compare(0, scheme.size(), scheme) != 0)
        return {};
    const std::size_t begin = header->second.find_first_not_of(' ', scheme.size());
    if (begin == std::string::npos)
        return {};
    const std::size_t end = header->second.find_last_not_of(" \t\r\n");
    return header->second.substr(begin, end - begin + 1);
}

}
