#pragma once

#include "base/time.h"

#include <cstdint>

namespace fescuecleat {

/** Bounds the rate of log lines of one event, which load may cause at any rate. */
class LineBudget {
public:
    /** Whether a line may be written now; counts it as omitted otherwise. */
    bool take(Time now)
    {
        if (now >= startedAt_ + std::chrono::seconds(1)) {
            startedAt_ = now;
            lines_ = 0;
        }
        if (lines_ >= maxLinesPerSecond) {
            ++omitted_;
            return false;
        }
        ++lines_;
        return true;
    }
    /** Lines that were not written, since the start. */
    std::uint64_t omitted() const { return omitted_; }

private:
    static constexpr int maxLinesPerSecond = 10;

    Time startedAt_ {};
    int lines_ = 0;
    std::uint64_t omitted_ = 0;
};

}
