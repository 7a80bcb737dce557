#pragma once

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace fescuecleat {

/** Room on a worker, or what a task asks for. */
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
    bool operator==(const Resources& other) const
    {
        return std::tie(cpuMillis_, memoryMb_, accelerators_) == std::tie(other.cpuMillis_, other.memoryMb_, other.accelerators_);
    }
    bool operator!=(const Resources& other) const { return !(*this == other); }

    /** How many tasks of this size fit, at most `limit`. */
    std::int64_t countFitting(const Resources& task, std::int64_t limit) const
    {
        const auto part = [](std::int64_t room, std::int64_t need, std::int64_t most) {
            if (need <= 0)
                return most;
            return std::clamp<std::int64_t>(room / need, 0, most);
        };
        limit = part(cpuMillis_, task.cpuMillis_, limit);
        limit = part(memoryMb_, task.memoryMb_, limit);
        return part(accelerators_, task.accelerators_, limit);
    }
};

inline Resources operator+(Resources left, const Resources& right) { return left += right; }
inline Resources operator-(Resources left, const Resources& right) { return left -= right; }

}
