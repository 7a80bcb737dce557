#include "telemetry/threadshard.h"

#include <atomic>

namespace fescuecleat {

std::size_t threadShard()
{
    static std::atomic<std::size_t> threads { 0 };
    thread_local const std::size_t shard = threads.fetch_add(1, std::memory_order_relaxed) % telemetryShards;
    return shard;
}

}
