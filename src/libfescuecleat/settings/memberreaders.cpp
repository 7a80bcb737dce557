#include "settings/memberreaders.h"

#include <algorithm>
#include <set>

namespace fescuecleat {

namespace {

    constexpr std::size_t maxNameLength = 63;

    bool isLowerCase(char c) { return c >= 'a' && c <= 'z'; }
    bool isNameCharacter(char c) { return isLowerCase(c) || (c >= '0' && c <= '9') || c == '-'; }

    bool isValidName(const std::string& text)
    {
        return !text.empty() && text.size() <= maxNameLength && isLowerCase(text.front()) && std::all_of(text.begin(), text.end(), isNameCharacter);
    }

    void reportAt(ObjectReader& reader, const std::string& name, const Error& error)
    {
        reader.report(error.kind_, error.message_, error.remedy_, name);
    }

    bool isString(const JsonValue& value)
    {
        return value.typeName() == "string" || (value.typeName().empty() && value.isString8());
    }

}

Duration readDuration(ObjectReader& reader, const std::string& name, Duration fallback, const DurationRange& range)
{
    const JsonValue* value = reader.any(name);
    if (!value)
        return fallback;
    if (!isString(*value)) {
        reader.report(ErrorKind::WrongUnit, "duration has no unit", "write a string with ms, s, min or h, such as \"30s\"", name);
        return fallback;
    }
    const Result<Duration> duration = parseDuration(reader.string(name));
    if (!duration) {
        reportAt(reader, name, duration.error());
        return fallback;
    }
    if (*duration < range.min_ || *duration > range.max_) {
        reader.report(ErrorKind::OutOfRange, "duration " + formatDuration(*duration) + " is out of range",
            "use a duration from " + formatDuration(range.min_) + " to " + formatDuration(range.max_), name);
        return fallback;
    }
    return *duration;
}

Address readAddress(ObjectReader& reader, const std::string& name)
{
    const std::string text = reader.string(name);
    if (text.empty())
        return {};
    Result<Address> address = parseAddress(text);
    if (address)
        return *address;
    reportAt(reader, name, address.error());
    return {};
}

std::vector<std::string> readStrings(ObjectReader& reader, const std::string& name)
{
    std::vector<std::string> strings;
    const JsonValue* values = reader.array(name, false);
    if (!values)
        return strings;
    std::set<std::string> seen;
    for (const JsonValue& value : *values) {
        const std::string element = name + "[" + std::to_string(strings.size()) + "]";
        std::string text;
        if (isString(value))
            value.getValue(text);
        if (text.empty())
            reader.report(ErrorKind::WrongType, "element is not a string or is empty", "write a string in double quotes", element);
        else if (!seen.insert(text).second)
            reader.report(ErrorKind::DuplicateMember, "\"" + text + "\" appears more than once in the array", "remove the duplicate", element);
        strings.push_back(std::move(text));
    }
    return strings;
}

bool checkName(const std::string& name, const std::string& path, std::vector<Error>& errors)
{
    if (isValidName(name))
        return true;
    errors.push_back({ ErrorKind::OutOfRange, "\"" + name + "\" is not a valid name",
        "use 1 to " + std::to_string(maxNameLength) + " lower-case letters, digits and hyphens, starting with a letter", path });
    return false;
}

std::string readName(ObjectReader& reader, const std::string& name, std::vector<Error>& errors)
{
    std::string text = reader.string(name);
    if (!text.empty())
        checkName(text, reader.pathOf(name), errors);
    return text;
}

}
