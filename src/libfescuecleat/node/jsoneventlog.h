#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace fescuecleat {

/**
 * Writes JSON lines to standard output without blocking. Lines that don't fit
 * into the buffer because the reader is slow are dropped and counted.
 */
class JsonEventLog {
public:
    explicit JsonEventLog(std::string instance);

    /** Queues a line with the event's name and fields. */
    void write(const char* event, nlohmann::json fields);
    /** Writes as much of the queue as standard output accepts. */
    void flush();

    std::uint64_t droppedLines() const { return droppedLines_; }

private:
    std::string instance_;
    std::string queue_;
    std::uint64_t droppedLines_ = 0;
    std::uint64_t reportedDroppedLines_ = 0;
};

}
