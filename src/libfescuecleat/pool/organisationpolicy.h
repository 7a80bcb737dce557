#pragma once

#include "pool/pooljobspec.h"
#include "pool/resources.h"

#include <cstdint>
#include <optional>
#include <string>

namespace fescuecleat {

/** What operators decide about an organisation's use of the pool. */
struct OrganisationPolicy {
    /** Share when the pool is full, and jobs per second within the organisation's rate; 0 if none is configured. */
    double weight_ = 0;
    /** Resources that all runs may use at a time; 0 means no limit. */
    Resources limit_;
};

enum class ResourceKind {
    Processors,
    Memory,
    Accelerators,
};

inline constexpr ResourceKind resourceKinds[] = { ResourceKind::Processors, ResourceKind::Memory, ResourceKind::Accelerators };

std::int64_t amountOf(const Resources&, ResourceKind);
/** Name of the resource with its unit, for logs and metrics: `cpuMillis`, `memoryMb` or `accelerators`. */
const char* toString(ResourceKind);

/** The first resource of which `count` tasks of the size `each` need more than a limit leaves beside `used`. */
std::optional<ResourceKind> exceededResource(const Resources& limit, const Resources& used, const Resources& each, std::int64_t count);

/** A task or gang that is larger than a limit. */
struct LimitExcess {
    int step_ = 0;
    ResourceKind resource_ {};
    /** Tasks that run at the same time. */
    std::int64_t taskCount_ = 1;
    /** Need of one of them. */
    std::int64_t each_ = 0;
    std::int64_t limit_ = 0;
};

/** The first step of which a task or gang can never run within the limit. */
std::optional<LimitExcess> findLimitExcess(const PoolJobSpec&, const Resources& limit);

}
