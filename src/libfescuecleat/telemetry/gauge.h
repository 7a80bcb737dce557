#pragma once

#include <atomic>
#include <cstdint>

namespace fescuecleat {

/** A metric value that can increase and decrease. Thread-safe. */
class Gauge {
public:
    void set(std::int64_t value) { value_.store(value, std::memory_order_relaxed); }
    void add(std::int64_t amount) { value_.fetch_add(amount, std::memory_order_relaxed); }
    std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> value_ { 0 };
};

}
