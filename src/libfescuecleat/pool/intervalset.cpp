#include "pool/intervalset.h"

#include <algorithm>
#include <iterator>

namespace fescuecleat {

IntervalSet::Iterator IntervalSet::find(std::int64_t number) const
{
    const auto next = lastOfFirst_.upper_bound(number);
    if (next != lastOfFirst_.begin() && std::prev(next)->second >= number)
        return std::prev(next);
    return next;
}

bool IntervalSet::containsAll(const Interval& interval) const
{
    const auto found = find(interval.first_);
    return found != lastOfFirst_.end() && found->first <= interval.first_ && interval.last_ <= found->second;
}

std::int64_t IntervalSet::count() const
{
    std::int64_t count = 0;
    for (const auto& [first, last] : lastOfFirst_)
        count += last - first + 1;
    return count;
}

std::optional<std::int64_t> IntervalSet::firstFrom(std::int64_t number) const
{
    const auto found = find(number);
    if (found == lastOfFirst_.end())
        return std::nullopt;
    return std::max(number, found->first);
}

std::vector<Interval> IntervalSet::within(const Interval& bounds) const
{
    std::vector<Interval> result;
    for (auto it = find(bounds.first_); it != lastOfFirst_.end() && it->first <= bounds.last_; ++it)
        result.push_back({ std::max(it->first, bounds.first_), std::min(it->second, bounds.last_) });
    return result;
}

void IntervalSet::insert(const Interval& interval)
{
    if (interval.last_ < interval.first_)
        return;
    Interval merged = interval;
    // One that ends directly before it is joined as well.
    auto it = find(interval.first_ - 1);
    while (it != lastOfFirst_.end() && it->first <= interval.last_ + 1) {
        merged.first_ = std::min(merged.first_, it->first);
        merged.last_ = std::max(merged.last_, it->second);
        it = lastOfFirst_.erase(it);
    }
    lastOfFirst_.emplace_hint(it, merged.first_, merged.last_);
}

void IntervalSet::erase(const Interval& interval)
{
    if (interval.last_ < interval.first_)
        return;
    auto it = find(interval.first_);
    while (it != lastOfFirst_.end() && it->first <= interval.last_) {
        const auto [first, last] = *it;
        it = lastOfFirst_.erase(it);
        if (first < interval.first_)
            lastOfFirst_.emplace(first, interval.first_ - 1);
        if (last > interval.last_)
            lastOfFirst_.emplace(interval.last_ + 1, last);
    }
}

}
