#pragma once

#include <cstdint>

namespace fescuecleat {

/** SplitMix64 pseudo-random generator; not cryptographically secure. */
class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed)
        : state_(seed)
    {
    }

    std::uint64_t next()
    {
        state_ += 0x9e3779b97f4a7c15U;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
        return mixed ^ (mixed >> 31U);
    }

    /** An integer in [0, bound); 0 if the bound is 0. */
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : next() % bound; }

    /** A number in [0, 1). */
    double unit() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }

private:
    std::uint64_t state_;
};

}
