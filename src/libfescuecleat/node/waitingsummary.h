#pragma once

#include "base/time.h"
#include "node/storeclock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace fescuecleat {

/** The number of waiting jobs of each queue, as the lease holder publishes it for other instances. */
struct WaitingSummary {
    std::map<std::string, int> jobs_;
    /** When the numbers were true at the latest, by the store's clock; 0 in rows of earlier versions, which don't tell. */
    std::int64_t trueAtMs_ = 0;

    /** Whether the numbers are certainly young enough to be answered. */
    bool isCurrent(const StoreClock&, Time now) const;
    /** The waiting jobs of a queue; 0 if the summary doesn't name it. */
    int jobsOf(const std::string& queue) const;

    /** The platform permits a number that is two seconds old. */
    static constexpr Duration maxAge = std::chrono::milliseconds(2000);
};

/** The numbers stay where earlier versions look for them. */
std::string encodeWaitingSummary(const WaitingSummary&);
/** Reads a summary of this or an earlier version; nothing if the text is neither. */
std::optional<WaitingSummary> decodeWaitingSummary(const std::string&);

}
