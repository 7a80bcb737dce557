#pragma once

#include "base/result.h"

#include <string>
#include <tuple>

namespace fescuecleat {

/**
 * Salted digest of a key, stored in place of the key: it verifies a key but can't
 * be used to recover it. Its text form is "blake2b:ID:SALT:DIGEST", with ID, SALT
 * and DIGEST in lower-case hex.
 */
struct KeyHash {
    /** Public part of the key, used to look up its hash. */
    std::string id_;
    std::string salt_;
    std::string digest_;

    bool operator==(const KeyHash& other) const { return std::tie(id_, salt_, digest_) == std::tie(other.id_, other.salt_, other.digest_); }
    bool operator!=(const KeyHash& other) const { return !(*this == other); }
};

/** A new key, shown once to its owner, and the hash that goes into the configuration. */
struct NewKey {
    /** "fck_ID_SECRET". */
    std::string key_;
    KeyHash hash_;
};

/** Creates a key with the system's random number generator. */
NewKey createKey();

/** The text form, as used in configurations. */
std::string toString(const KeyHash&);

/** Parses the text form. Errors: WrongType. */
Result<KeyHash> parseKeyHash(const std::string& text);

/** The public part of a key; empty if the text is not a key. */
std::string keyIdOf(const std::string& key);

/** True if the key has this hash. The comparison takes constant time, so that its duration reveals nothing about the digest. */
bool matches(const std::string& key, const KeyHash&);

}
