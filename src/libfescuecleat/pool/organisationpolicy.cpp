#include "pool/organisationpolicy.h"

namespace fescuecleat {

std::int64_t amountOf(const Resources& resources, ResourceKind kind)
{
    switch (kind) {
    case ResourceKind::Processors:
        return resources.cpuMillis_;
    case ResourceKind::Memory:
        return resources.memoryMb_;
    case ResourceKind::Accelerators:
        return resources.accelerators_;
    }
    return 0;
}

const char* toString(ResourceKind kind)
{
    switch (kind) {
    case ResourceKind::Processors:
        return "cpuMillis";
    case ResourceKind::Memory:
        return "memoryMb";
    case ResourceKind::Accelerators:
        return "accelerators";
    }
    return "";
}

std::optional<ResourceKind> exceededResource(const Resources& limit, const Resources& used, const Resources& each, std::int64_t count)
{
    for (const ResourceKind kind : resourceKinds) {
        const std::int64_t most = amountOf(limit, kind);
        const std::int64_t need = amountOf(each, kind);
        if (most == 0 || need == 0)
            continue;
        const std::int64_t left = most - amountOf(used, kind);
        // Divided, since the product of what a caller declares may be large.
        if (left < 0 || left / need < count)
            return kind;
    }
    return std::nullopt;
}

std::optional<LimitExcess> findLimitExcess(const PoolJobSpec& spec, const Resources& limit)
{
    for (std::size_t i = 0; i < spec.steps_.size(); ++i) {
        const StepSpec& step = spec.steps_[i];
        const std::int64_t count = step.isGang_ ? step.taskCount_ : 1;
        if (const auto kind = exceededResource(limit, {}, step.resources_, count))
            return LimitExcess { static_cast<int>(i), *kind, count, amountOf(step.resources_, *kind), amountOf(limit, *kind) };
    }
    return std::nullopt;
}

}
