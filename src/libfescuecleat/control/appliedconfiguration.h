#pragma once

#include <cstdint>
#include <vector>

namespace fescuecleat {

/** Who told of a configuration version. */
enum class ConfigurationSource {
    Table,
    /** A peer of the same data centre that has the version in force. */
    NeighbourInForce,
    /** Anything else: other data centres, snapshots. */
    Elsewhere,
};

/**
 * Which configuration version an instance has in force. Pure. It only ever
 * goes up: a lower version that comes late, from a peer or from an old
 * snapshot, is never applied. A fresh process takes its first version only
 * from the table or from a neighbour that has it in force: those have at least
 * what the data centre confirmed, others may lag behind it.
 */
class AppliedConfiguration {
public:
    /** The version in force; 0 before the first. */
    std::uint64_t version() const { return version_; }
    /** The highest version that anything told of. */
    std::uint64_t highestKnown() const { return highestKnown_; }
    /** True if a newer version is known than the one in force. */
    bool isBehind() const { return version_ < highestKnown_; }

    /** The table or a peer told of a version. */
    void heardOf(std::uint64_t version);

    /** True if the version is to be applied now; it is then in force. */
    bool apply(std::uint64_t version, ConfigurationSource);

private:
    std::uint64_t version_ = 0;
    std::uint64_t highestKnown_ = 0;
};

/**
 * The version that a data centre has in force: the lowest of its live
 * instances. 0 if the list is empty.
 */
std::uint64_t versionInForce(const std::vector<std::uint64_t>& ofInstances);

}
