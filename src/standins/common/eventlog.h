#pragma once

#include "base/time.h"
#include "json/json.h"

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace fescuecleat::standins {

/** Ordered log of the events of a stand-in, read by audits. Times are of the machine's monotonic clock. */
class EventLog {
public:
    using Fields = std::vector<std::pair<std::string, std::string>>;

    /** Adds an entry; `instance` is the id of a worker or minion, empty for the whole process. */
    void add(Time, const std::string& instance, const std::string& event, Fields fields = {});

    /** Returns the entries from sequence number `since` on and the number of entries dropped because the log was full. */
    JsonValue dump(std::uint64_t since) const;

private:
    struct Entry {
        Time time_;
        std::string instance_;
        std::string event_;
        Fields fields_;
    };

    std::deque<Entry> entries_;
    std::uint64_t firstSequence_ = 0;
};

}
