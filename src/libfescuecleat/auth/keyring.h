#pragma once

#include "auth/keyhash.h"
#include "base/id.h"
#include "http/httpmessage.h"
#include "settings/configuration.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace fescuecleat {

/** Identity of operators. */
struct Operator {
    bool operator==(const Operator&) const { return true; }
};

/** Identity of callers without a valid key. */
struct Unauthenticated {
    bool operator==(const Unauthenticated&) const { return true; }
};

/** Identity of a caller: an operator, an organisation or unauthenticated. */
using Identity = std::variant<Operator, OrganisationId, Unauthenticated>;

/** The valid keys and their owners. Immutable; each configuration gets a new keyring. */
class Keyring {
public:
    /** Operator keys from the settings, used until a configuration is in force. */
    explicit Keyring(const std::vector<std::string>& operatorKeyHashes);

    /** The keys of a configuration; invalid key hashes are ignored. */
    explicit Keyring(const Configuration&);

    Identity identify(const std::string& key) const;

private:
    struct Entry {
        KeyHash hash_;
        Identity owner_;
    };

    void add(const std::vector<std::string>& hashes, const Identity& owner);

    /** Keyed by the public part of the key. */
    std::map<std::string, Entry> entries_;
};

/** The key in "Authorization: Bearer KEY"; empty if there is none. */
std::string bearerKey(const HttpHeaders&);

}
