#pragma once

#include "telemetry/threadshard.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace fescuecleat {

/** A count that only grows. Each thread adds to its own shard, so threads don't wait for each other. */
class Counter {
public:
    void add(std::uint64_t amount = 1) { shards_[threadShard()].value_.fetch_add(amount, std::memory_order_relaxed); }

    std::uint64_t value() const
    {
        std::uint64_t sum = 0;
        for (const Shard& shard : shards_)
            sum += shard.value_.load(std::memory_order_relaxed);
        return sum;
    }

private:
    /** A cache line of its own. */
    struct alignas(64) Shard {
        std::atomic<std::uint64_t> value_ { 0 };
    };

    std::array<Shard, telemetryShards> shards_;
};

}
