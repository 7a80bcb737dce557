#pragma once

#include "base/time.h"
#include "pool/pooljobspec.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace fescuecleat {

/** Draws what the callers do; the same seed gives the same draws with every standard library. */
class CallerDraw {
public:
    explicit CallerDraw(std::uint32_t seed);

    bool oneIn(int cases) { return below(static_cast<std::size_t>(cases)) == 0; }
    std::size_t below(std::size_t limit) { return static_cast<std::size_t>(random_() % limit); }
    Duration between(Duration min, Duration max);
    /** Time until the next of events that happen at random with this rate. */
    Duration untilNext(double perSecond);
    std::string jobId();
    PoolJobSpec job();
    /** Payload of jobs whose first task crashes each worker that starts it. */
    static constexpr const char* deadlyPayload = "soak, crashes workers";

private:
    StepSpec step();

    std::mt19937_64 random_;
};

}
