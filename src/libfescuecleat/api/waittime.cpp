#include "api/waittime.h"

#include <algorithm>
#include <charconv>

namespace fescuecleat {

Result<Duration> parseWaitTime(const HttpRequest& request, const WaitLimits& limits)
{
    const auto wait = request.query_.find("wait_ms");
    if (wait == request.query_.end())
        return limits.default_;
    const std::string& text = wait->second;
    std::uint32_t value = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(text.data(), end, value);
    if (status != std::errc() || rest != end)
        return failure(ErrorKind::OutOfRange, "wait_ms is not a whole number of milliseconds", "give a number, for example wait_ms=5000", "wait_ms");
    return std::min<Duration>(std::chrono::milliseconds(value), limits.max_);
}

}
