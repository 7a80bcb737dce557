#include "node/waitingsummary.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace fescuecleat {

namespace {

    using Json = nlohmann::json;

    /** Begins the names of members that are not queues; a queue whose name begins with it gets it twice. */
    constexpr char reservedPrefix = '@';
    constexpr const char* timeMember = "@trueAtMs";

    bool isReserved(const std::string& name)
    {
        return !name.empty() && name.front() == reservedPrefix;
    }

}

bool WaitingSummary::isCurrent(const StoreClock& clock, Time now) const
{
    return trueAtMs_ > 0 && clock.isKnown() && clock.latestMs(now) - trueAtMs_ < wholeMilliseconds(maxAge);
}

int WaitingSummary::jobsOf(const std::string& queue) const
{
    const auto found = jobs_.find(queue);
    return found == jobs_.end() ? 0 : found->second;
}

std::string encodeWaitingSummary(const WaitingSummary& summary)
{
    Json json = Json::object();
    for (const auto& [queue, jobs] : summary.jobs_)
        json[isReserved(queue) ? reservedPrefix + queue : queue] = jobs;
    json[timeMember] = summary.trueAtMs_;
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<WaitingSummary> decodeWaitingSummary(const std::string& text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    WaitingSummary summary;
    for (const auto& [name, value] : json.items()) {
        const bool isQueue = !isReserved(name) || (name.size() > 1 && name[1] == reservedPrefix);
        // Other reserved members are those of later versions.
        if (!isQueue && name != timeMember)
            continue;
        if (!value.is_number_unsigned())
            return std::nullopt;
        const auto number = value.get<std::uint64_t>();
        if (isQueue && number <= std::numeric_limits<int>::max())
            summary.jobs_[isReserved(name) ? name.substr(1) : name] = static_cast<int>(number);
        else if (!isQueue && number <= std::numeric_limits<std::int64_t>::max())
            summary.trueAtMs_ = static_cast<std::int64_t>(number);
        else
            return std::nullopt;
    }
    return summary;
}

}
