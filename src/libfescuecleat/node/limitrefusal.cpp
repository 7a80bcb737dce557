#include "node/limitrefusal.h"

namespace fescuecleat {

namespace {

    const char* unitOf(ResourceKind kind)
    {
        switch (kind) {
        case ResourceKind::Processors:
            return " thousandths of a core";
        case ResourceKind::Memory:
            return " MB of memory";
        case ResourceKind::Accelerators:
            return " accelerators";
        }
        return "";
    }

}

std::string describe(const LimitExcess& excess, const std::string& organisation)
{
    const std::string unit = unitOf(excess.resource_);
    std::string text = "step " + std::to_string(excess.step_) + " can never start: ";
    text += excess.taskCount_ > 1 ? "its gang of " + std::to_string(excess.taskCount_) + " tasks needs " : "one of its tasks needs ";
    text += std::to_string(excess.taskCount_ * excess.each_) + unit + " at the same time, and the limit for all runs of organisation " + organisation + " is " + std::to_string(excess.limit_) + unit;
    return text + "; submit smaller tasks or gangs, or ask the operator to raise the limit";
}

}
