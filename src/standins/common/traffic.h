#pragma once

#include "json/json.h"

#include <cstdint>
#include <map>
#include <string>

namespace fescuecleat::standins {

/** Counts requests and bytes received by path, and bytes sent. Includes HTTP headers, excludes TCP and IP headers. */
class Traffic {
public:
    void countRequest(const std::string& path, std::size_t bytes)
    {
        Count& count = byPath_[path];
        ++count.requests_;
        count.bytesIn_ += bytes;
    }

    void countResponse(std::size_t bytes) { bytesOut_ += bytes; }

    JsonValue dump() const
    {
        JsonValue value = jsonObject();
        value.addMember("bytes_out") <<= bytesOut_;
        JsonValue& paths = value.addMember("paths");
        paths.setCategory(JsonValue::Object);
        for (const auto& [path, count] : byPath_) {
            JsonValue& item = paths.addMember(path);
            item.setCategory(JsonValue::Object);
            item.addMember("requests") <<= count.requests_;
            item.addMember("bytes_in") <<= count.bytesIn_;
        }
        return value;
    }

private:
    struct Count {
        std::uint64_t requests_ = 0;
        std::uint64_t bytesIn_ = 0;
    };

    std::map<std::string, Count> byPath_;
    std::uint64_t bytesOut_ = 0;
};

}
