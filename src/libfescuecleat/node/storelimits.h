#pragma once

#include <cstddef>

namespace fescuecleat {

/** What the store takes. Values are measured as they are sent, in base64. */
struct StoreLimits {
    std::size_t rowBytes_ = 65536;
    std::size_t transactionBytes_ = std::size_t(1) << 20;
    std::size_t transactionEntries_ = 100;

    /** The largest value of a row before it is encoded. */
    std::size_t maxValueBytes() const { return rowBytes_ / 4 * 3; }
    /** The size of a value as it is sent. */
    static std::size_t encodedBytes(std::size_t valueBytes) { return (valueBytes + 2) / 3 * 4; }
};

}
