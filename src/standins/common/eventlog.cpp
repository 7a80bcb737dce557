#include "standins/common/eventlog.h"

namespace fescuecleat::standins {

namespace {

    /** Limits the memory use of long runs. */
    constexpr std::size_t maxEntries = 500000;

}

void EventLog::add(Time time, const std::string& instance, const std::string& event, Fields fields)
{
    entries_.push_back({ time, instance, event, std::move(fields) });
    if (entries_.size() <= maxEntries)
        return;
    entries_.pop_front();
    ++firstSequence_;
}

JsonValue EventLog::dump(std::uint64_t since) const
{
    JsonValue value = jsonObject();
    value.addMember("dropped") <<= firstSequence_;
    value.addMember("next") <<= firstSequence_ + entries_.size();
    JsonValue& list = value.addMember("entries");
    list.setCategory(JsonValue::Array);
    const std::uint64_t firstIndex = since > firstSequence_ ? since - firstSequence_ : 0;
    for (std::uint64_t i = firstIndex; i < entries_.size(); ++i) {
        const Entry& entry = entries_[i];
        JsonValue& item = list.addMember("");
        item.setCategory(JsonValue::Object);
        item.addMember("sequence") <<= firstSequence_ + i;
        item.addMember("at_us") <<= entry.time_.time_since_epoch().count();
        item.addMember("instance") <<= entry.instance_;
        item.addMember("event") <<= entry.event_;
        for (const auto& [name, text] : entry.fields_)
            item.addMember(name) <<= text;
    }
    return value;
}

}
