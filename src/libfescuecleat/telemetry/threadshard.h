#pragma once

#include <cstddef>

namespace fescuecleat {

/** Shards of each counter and histogram; threads are spread over them. */
constexpr std::size_t telemetryShards = 8;

/** The shard of the calling thread, always the same one. */
std::size_t threadShard();

}
