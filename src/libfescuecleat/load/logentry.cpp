#include "load/logentry.h"

#include <cstdlib>
#include <sstream>

namespace fescuecleat {

namespace {

    const JsonLimits logLimits { std::size_t { 512 } << 20U, 8 };

    template <typename Value>
    Value memberOr(const JsonValue& value, const std::string& name, Value fallback)
    {
        if (const JsonValue* member = value.findMember(name))
            member->getValue(fallback);
        return fallback;
    }

    LogEntry parseEntry(const JsonValue& value, LogSource source, const std::string& dataCentre)
    {
        LogEntry entry;
        entry.source_ = source;
        entry.dataCentre_ = dataCentre;
        for (const JsonValue& member : value) {
            std::string text;
            member.getValue(text);
            if (member.name() == "instance")
                entry.instance_ = text;
            else if (member.name() == "event")
                entry.event_ = text;
            else if (member.name() != "at_us" && member.name() != "sequence")
                entry.fields_[member.name()] = text;
        }
        entry.at_ = Time(Duration(memberOr(value, "at_us", std::int64_t { 0 })));
        return entry;
    }

}

std::string LogEntry::field(const std::string& name) const
{
    const auto found = fields_.find(name);
    return found == fields_.end() ? "" : found->second;
}

int LogEntry::number(const std::string& name) const
{
    return static_cast<int>(std::strtol(field(name).c_str(), nullptr, 10));
}

Result<LogPage> parseLogPage(const std::string& text, LogSource source, const std::string& dataCentre)
{
    const Result<JsonValue> value = parseJson(text, "log", logLimits);
    if (!value)
        return tl::unexpected<Error>(value.error());
    const JsonValue* entries = value->findMember("entries");
    if (!entries)
        return failure(ErrorKind::MissingMember, "the log has no member entries", "use a stand-in of the same version", "entries");
    LogPage page;
    page.next_ = memberOr(*value, "next", std::uint64_t { 0 });
    page.dropped_ = memberOr(*value, "dropped", std::uint64_t { 0 });
    for (const JsonValue& item : *entries)
        page.entries_.push_back(parseEntry(item, source, dataCentre));
    return page;
}

std::string describe(const LogEntry& entry)
{
    std::ostringstream line;
    line << entry.at_.time_since_epoch().count() << " us " << entry.dataCentre_ << ' ' << entry.instance_ << ' ' << entry.event_;
    for (const auto& [name, value] : entry.fields_) {
        if (!value.empty())
            line << ' ' << name << '=' << value;
    }
    return line.str();
}

}
