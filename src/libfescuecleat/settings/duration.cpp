#include "settings/duration.h"

#include <array>
#include <charconv>

namespace fescuecleat {

namespace {

    struct Unit {
        const char* name_;
        Duration length_;
    };

    /** Largest first. */
    const std::array<Unit, 4> units { {
        { "h", std::chrono::hours(1) },
        { "min", std::chrono::minutes(1) },
        { "s", std::chrono::seconds(1) },
        { "ms", std::chrono::milliseconds(1) },
    } };

    /** Keeps sums of durations and time points from overflowing. */
    constexpr Duration maxDuration = std::chrono::hours(24L * 3650);

}

Result<Duration> parseDuration(const std::string& text)
{
    std::int64_t count = 0;
    const char* const end = text.data() + text.size();
    const auto [unitBegin, status] = std::from_chars(text.data(), end, count);
    if (status == std::errc::result_out_of_range)
        return failure(ErrorKind::OutOfRange, "duration \"" + text + "\" is too long", "use a duration of at most ten years");
    const std::string unitName(unitBegin, end);
    for (const Unit& unit : units) {
        if (status != std::errc() || unitName != unit.name_)
            continue;
        if (count < 0 || count > maxDuration / unit.length_)
            return failure(ErrorKind::OutOfRange, "duration \"" + text + "\" is negative or too long", "use a duration from 0ms to ten years");
        return count * unit.length_;
    }
    return failure(ErrorKind::WrongUnit, "\"" + text + "\" is not a duration", "write a whole number followed by ms, s, min or h without spaces, such as \"30s\"");
}

std::string formatDuration(Duration duration)
{
    for (const Unit& unit : units) {
        if (duration % unit.length_ == Duration::zero() && (duration != Duration::zero() || unit.length_ == std::chrono::seconds(1)))
            return std::to_string(duration / unit.length_) + unit.name_;
    }
    return std::to_string(duration / std::chrono::milliseconds(1)) + "ms";
}

}
