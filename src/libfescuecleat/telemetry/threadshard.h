#pragma once

#include <cstddef>

namespace fescuecleat {

/** Number of shards of each counter and histogram. Threads are assigned to them round-robin. */
constexpr std::size_t telemetryShardCount = 8;

/** Returns the shard index of the calling thread, which never changes during its lifetime. */
std::size_t threadShardIndex();

}
