#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace fescuecleat {

/** Makes write ids that no other process ever makes. Thread-safe. */
class WriteIds {
public:
    /** `owner` names the instance, for people who read the table's log. */
    explicit WriteIds(const std::string& owner);

    std::string next();

private:
    std::string prefix_;
    std::atomic<std::uint64_t> count_ { 0 };
};

}
