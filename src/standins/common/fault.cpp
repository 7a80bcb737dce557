#include "standins/common/fault.h"

#include "json/objectreader.h"

#include <array>
#include <optional>

namespace fescuecleat::standins {

namespace {

    constexpr std::int64_t maxDurationMs = 86400000;

    struct NamedKind {
        const char* name_;
        FaultKind kind_;
    };

    constexpr std::array<NamedKind, 12> namedKinds { {
        { "delay", FaultKind::Delay },
        { "fail", FaultKind::Fail },
        { "lose_answer", FaultKind::LoseAnswer },
        { "silent", FaultKind::Silent },
        { "cross", FaultKind::Cross },
        { "duplicate", FaultKind::Duplicate },
        { "truncate", FaultKind::Truncate },
        { "endless", FaultKind::Endless },
        { "malformed", FaultKind::Malformed },
        { "wrong", FaultKind::Wrong },
        { "fail_tasks", FaultKind::FailTasks },
        { "refuse", FaultKind::Refuse },
    } };

    std::optional<FaultKind> faultKind(const std::string& name)
    {
        for (const NamedKind& kind : namedKinds) {
            if (name == kind.name_)
                return kind.kind_;
        }
        return std::nullopt;
    }

    Fault parseFault(const JsonValue& value, const std::string& path, Time now, std::vector<Error>& errors)
    {
        ObjectReader reader(value, path, errors);
        Fault fault;
        const std::optional<FaultKind> kind = faultKind(reader.string("kind"));
        if (!kind)
            reader.report(ErrorKind::OutOfRange, "unknown fault kind", "see the fault ports in docs/design/edges.md", "kind");
        fault.kind_ = kind.value_or(FaultKind::Delay);
        fault.share_ = reader.numberOr("share", 1, 0, 1);
        fault.delay_ = std::chrono::milliseconds(reader.integerOr("delay_ms", 0, 0, maxDurationMs));
        const std::int64_t duration = reader.integerOr("for_ms", 0, 0, maxDurationMs);
        fault.until_ = duration ? now + std::chrono::milliseconds(duration) : Time::max();
        if (const JsonValue* pathPrefix = reader.any("path"))
            pathPrefix->getValue(fault.pathPrefix_);
        fault.instance_ = reader.stringOr("instance", "");
        if (reader.booleanOr("only_open_connections", false))
            fault.openedBefore_ = now;
        reader.finish();
        return fault;
    }

}

Result<std::vector<Fault>> parseFaults(const JsonValue& value, Time now)
{
    std::vector<Error> errors;
    std::vector<Fault> faults;
    ObjectReader reader(value, "", errors);
    if (const JsonValue* list = reader.array("faults")) {
        for (const JsonValue& item : *list)
            faults.push_back(parseFault(item, "faults[" + std::to_string(faults.size()) + "]", now, errors));
    }
    reader.finish();
    if (!errors.empty())
        return tl::unexpected<Error>(errors.front());
    return faults;
}

}
