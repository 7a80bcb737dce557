#pragma once

#include "base/result.h"

#include <string>
#include <tuple>

namespace fescuecleat {

/**
 * What is stored of a key: enough to recognise it, not to make it. Its text is
 * "blake2b:ID:SALT:DIGEST" with each part in lower-case hex.
 */
struct KeyHash {
    /** Public part of the key, by which its hash is found. */
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

/** Draws a key from the system's random source. */
NewKey createKey();

/** The text that goes into a configuration. */
std::string toString(const KeyHash&);

/** Parses that text. Errors: WrongType. */
Result<KeyHash> parseKeyHash(const std::string& text);

/** The public part of a key; empty if the text is no key. */
std::string keyIdOf(const std::string& key);

/** True if the key belongs to the hash. The comparison takes the same time wherever they differ. */
bool matches(const std::string& key, const KeyHash&);

}
