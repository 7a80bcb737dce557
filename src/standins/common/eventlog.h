#pragma once

#include "base/time.h"
#include "json/json.h"

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace fescuecleat::standins {

/** What a stand-in saw and did, in order, for audits. Times are of the machine's monotonic clock. */
class EventLog {
public:
    using Fields = std::vector<std::pair<std::string, std::string>>;

    /** Adds an entry; `instance` is the worker or minion concerned. */
    void add(Time, const std::string& instance, const std::string& event, Fields fields = {});

    /** Entries from this sequence number on, and how many were dropped because the log was full. */
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
