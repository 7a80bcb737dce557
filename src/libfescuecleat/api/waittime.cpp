#include "api/waittime.h"

#include <algorithm>
#include <charconv>

namespace fescuecleat {

Result<Duration> parseWaitTime(const HttpRequest& request, const WaitTimes& times)
{
    const auto wait = request.query_.find("wait_ms");
    if (wait == request.query_.end())
        return times.usual_;
    const std::string& text = wait->second;
    std::uint32_t value = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(text.data(), end, value);
    if (status != std::errc() || rest != end)
        return failure(ErrorKind::OutOfRange, "wait_ms is no whole number of milliseconds", "write for example wait_ms=5000", "wait_ms");
    return std::min<Duration>(std::chrono::milliseconds(value), times.most_);
}

}
