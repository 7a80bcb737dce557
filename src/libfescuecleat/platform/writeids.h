#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace fescuecleat {

/** Generates globally unique write ids. Thread-safe. */
class WriteIds {
public:
    /** `owner` names the instance; it makes the ids readable in the log of the table. */
    explicit WriteIds(const std::string& owner);

    std::string next();

private:
    std::string prefix_;
    std::atomic<std::uint64_t> count_ { 0 };
};

}
