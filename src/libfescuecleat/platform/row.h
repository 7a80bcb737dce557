#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace fescuecleat {

/** A row of the platform's table. */
struct Row {
    std::string key_;
    std::string value_;
    /** Revision of the last commit that wrote the row; 0 if the row does not exist. */
    std::uint64_t version_ = 0;

    bool operator==(const Row& other) const { return std::tie(key_, value_, version_) == std::tie(other.key_, other.value_, other.version_); }
    bool operator!=(const Row& other) const { return !(*this == other); }
};

}
