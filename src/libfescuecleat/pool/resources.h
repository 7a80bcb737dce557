#pragma once

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace fescuecleat {

/** Capacity of a worker, or the requirements of a task. */
struct Resources {
    std::int64_t cpuMillis_ = 0;
    std::int64_t memoryMb_ = 0;
    std::int64_t accelerators_ = 0;

    bool contains(const Resources& other) const
    {
        return cpuMillis_ >= other.cpuMillis_ && memoryMb_ >= other.memoryMb_ && accelerators_ >= other.accelerators_;
    }
    Resources& operator+=(const Resources& other)
    {
        cpuMillis_ += other.cpuMillis_;
        memoryMb_ += other.memoryMb_;
        accelerators_ += other.accelerators_;
        return *this;
    }
    Resources& operator-=(const Resources& other)
    {
        cpuMillis_ -= other.cpuMillis_;
        memoryMb_ -= other.memoryMb_;
        accelerators_ -= other.accelerators_;
        return *this;
    }
    /** An accelerator is worth as much as 8 cores. */
    double weightInCores() const
    {
        constexpr double coresPerAccelerator = 8;
        return static_cast<double>(cpuMillis_) / 1000 + coresPerAccelerator * static_cast<double>(accelerators_);
    }
    bool operator==(const Resources& other) const
    {
        return std::tie(cpuMillis_, memoryMb_, accelerators_) == std::tie(other.cpuMillis_, other.memoryMb_, other.accelerators_);
    }
    bool operator!=(const Resources& other) const { return !(*this == other); }

    /** Number of tasks of the given size that fit, up to `limit`. */
    std::int64_t countFitting(const Resources& task, std::int64_t limit) const
    {
        const auto fitting = [](std::int64_t available, std::int64_t required, std::int64_t max) {
            if (required <= 0)
                return max;
            return std::clamp<std::int64_t>(available / required, 0, max);
        };
        limit = fitting(cpuMillis_, task.cpuMillis_, limit);
        limit = fitting(memoryMb_, task.memoryMb_, limit);
        return fitting(accelerators_, task.accelerators_, limit);
    }
};

inline Resources operator+(Resources left, const Resources& right) { return left += right; }
inline Resources operator-(Resources left, const Resources& right) { return left -= right; }

}
