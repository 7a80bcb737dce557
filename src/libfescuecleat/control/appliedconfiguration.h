#pragma once

#include <cstdint>
#include <vector>

namespace fescuecleat {

/** Where a configuration version was learnt from. */
enum class ConfigurationSource {
    /** The row of the newest configuration. */
    Table,
    /** An instance of the same data centre that has the version in force. */
    LocalPeerInForce,
    /** An instance of another data centre, or a snapshot. */
    Other,
};

/**
 * The configuration version that an instance has in force. The version never
 * decreases: a lower one that arrives late, from a peer or an old snapshot, is
 * ignored. A new process accepts its first version only from the table or from
 * an instance of its own data centre that has it in force, because these are
 * never behind the version that the data centre confirmed; other sources may be.
 * Does no I/O.
 */
class AppliedConfiguration {
public:
    /** The version in force; 0 if none was applied yet. */
    std::uint64_t version() const { return version_; }
    /** The highest version seen from any source. */
    std::uint64_t highestKnown() const { return highestKnown_; }
    /** True if a newer version than the one in force is known. */
    bool isBehind() const { return version_ < highestKnown_; }

    /** Records that a version exists, without applying it. */
    void noteVersion(std::uint64_t version);

    /** Puts the version in force. Returns false if it is not newer, or not acceptable as a first version. */
    bool apply(std::uint64_t version, ConfigurationSource);

private:
    std::uint64_t version_ = 0;
    std::uint64_t highestKnown_ = 0;
};

/**
 * The version that a data centre has in force: the lowest version of its live
 * instances, or 0 without instances.
 */
std::uint64_t versionInForce(const std::vector<std::uint64_t>& instanceVersions);

}
