#include "telemetry/threadshard.h"

#include <atomic>

namespace fescuecleat {

std::size_t threadShardIndex()
{
    static std::atomic<std::size_t> threadCount { 0 };
    thread_local const std::size_t shard = threadCount.fetch_add(1, std::memory_order_relaxed) % telemetryShardCount;
    return shard;
}

}
