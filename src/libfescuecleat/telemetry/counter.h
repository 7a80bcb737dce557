#pragma once

#include "telemetry/threadshard.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace fescuecleat {

/** A monotonic counter, sharded by thread to avoid contention. Thread-safe. */
class Counter {
public:
    void add(std::uint64_t amount = 1) { shards_[threadShardIndex()].value_.fetch_add(amount, std::memory_order_relaxed); }

    std::uint64_t value() const
    {
        std::uint64_t sum = 0;
        for (const Shard& shard : shards_)
            sum += shard.value_.load(std::memory_order_relaxed);
        return sum;
    }

private:
    /** Aligned to a cache line to avoid false sharing. */
    struct alignas(64) Shard {
        std::atomic<std::uint64_t> value_ { 0 };
    };

    std::array<Shard, telemetryShardCount> shards_;
};

}
