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

/** The caller is an operator. */
struct Operator {
    bool operator==(const Operator&) const { return true; }
};

/** The caller gave no key, or one that isn't valid. */
struct Unauthenticated {
    bool operator==(const Unauthenticated&) const { return true; }
};

/** Who a caller is; OrganisationId: it acts for that organisation. */
using Identity = std::variant<Operator, OrganisationId, Unauthenticated>;

/** The keys that are valid now. Immutable: another configuration makes another keyring. */
class Keyring {
public:
    /** Before any configuration is in force: operators only, by the settings' hashes. */
    explicit Keyring(const std::vector<std::string>& operatorKeyHashes);

    /** The keys of a configuration; texts that are no key hashes are left out. */
    explicit Keyring(const Configuration&);

    Identity identify(const std::string& key) const;

private:
    struct Entry {
        KeyHash hash_;
        Identity owner_;
    };

    void add(const std::vector<std::string>& hashes, const Identity& owner);

    /** By the public part of the key. */
    std::map<std::string, Entry> entries_;
};

/** The key of "Authorization: Bearer KEY"; empty if there is none. */
std::string bearerKey(const HttpHeaders&);

}
