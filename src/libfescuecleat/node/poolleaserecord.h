#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace fescuecleat {

/** The content of the lease row. */
struct PoolLeaseRecord {
    std::string holder_;
    /** Increases with each new holder. */
    std::int64_t epoch_ = 0;
    /** Expiry by the store's clock. */
    std::int64_t untilMs_ = 0;
};

std::string encodePoolLease(const PoolLeaseRecord&);
/** Returns nothing if the text is malformed. */
std::optional<PoolLeaseRecord> decodePoolLease(const std::string&);

}
