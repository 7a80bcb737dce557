#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace fescuecleat {

/**
 * JSON lines on standard output. Never blocks: lines that the reader doesn't
 * take in time are dropped and counted.
 */
class JsonEventLog {
public:
    explicit JsonEventLog(std::string instance);

    /** Queues a line: the event's name and its fields. */
    void write(const char* event, nlohmann::json fields);
    /** Hands the reader what it takes. */
    void flush();

    std::uint64_t droppedLines() const { return dropped_; }

private:
    std::string instance_;
    std::string queue_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reportedDropped_ = 0;
};

}
